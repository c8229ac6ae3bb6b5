/** Exchange of state between gateways. */
package org.lovagethread.gateway.peer;
