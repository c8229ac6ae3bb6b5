/** Recorded events of the core, whose replay produces the same commands. */
package org.lovagethread.core.trace;
