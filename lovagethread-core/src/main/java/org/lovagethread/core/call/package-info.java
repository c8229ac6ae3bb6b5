/** State machines of the calls that callers have in flight. */
package org.lovagethread.core.call;
