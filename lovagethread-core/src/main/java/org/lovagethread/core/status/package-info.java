/** Read-only views of the core's state for operators. */
package org.lovagethread.core.status;
