/** Events that the decision core takes. */
package org.lovagethread.core.event;
