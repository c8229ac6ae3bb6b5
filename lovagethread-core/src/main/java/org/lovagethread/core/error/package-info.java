/** Closed list of error kinds and the answer that each kind gives to a caller. */
package org.lovagethread.core.error;
