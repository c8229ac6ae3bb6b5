/** Deterministic core, which maps typed events with timestamps to typed commands and performs no I/O. */
package org.lovagethread.core;
