/** State machines of the calls in flight. */
package org.lovagethread.core.call;
