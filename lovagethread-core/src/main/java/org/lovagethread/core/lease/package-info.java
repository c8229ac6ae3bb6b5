/** Leader lease with fencing tokens, and the orders that the lease holder sends to engines. */
package org.lovagethread.core.lease;
