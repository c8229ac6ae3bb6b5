/** Rate limits of customers and their division between nodes. */
package org.lovagethread.core.limit;
