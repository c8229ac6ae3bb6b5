/**
 * Benchmarks of the processing cost of the core, of routing policies, of the size of control messages and of the latency
 * that a node adds to a call.
 */
package org.lovagethread.bench;
