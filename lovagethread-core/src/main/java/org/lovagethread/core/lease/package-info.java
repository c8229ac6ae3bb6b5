/** Lease with fencing numbers, and the orders that the lease holder sends to engines. */
package org.lovagethread.core.lease;
