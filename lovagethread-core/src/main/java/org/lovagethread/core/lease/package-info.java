/** Leases with fencing numbers, and the orders that a lease holder gives to engines. */
package org.lovagethread.core.lease;
