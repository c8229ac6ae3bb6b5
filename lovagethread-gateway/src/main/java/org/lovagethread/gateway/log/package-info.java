/** Log lines and metrics of a gateway. */
package org.lovagethread.gateway.log;
