/** Benchmarks: cost of the core by size, size of control messages, and time added to a call. */
package org.lovagethread.bench;
