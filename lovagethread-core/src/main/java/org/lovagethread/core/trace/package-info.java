/** Recorded events of the core, which can be replayed with the same result. */
package org.lovagethread.core.trace;
