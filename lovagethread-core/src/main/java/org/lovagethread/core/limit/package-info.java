/** Rate limits of customers, divided among the nodes, and the retry budget. */
package org.lovagethread.core.limit;
