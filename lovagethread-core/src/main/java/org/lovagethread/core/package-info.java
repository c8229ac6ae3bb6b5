/** Deterministic decision core: takes typed events with a time stamp and returns typed commands, without input or output. */
package org.lovagethread.core;
