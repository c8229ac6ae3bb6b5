/** Membership of gateways and the exchange of state between them. */
package org.lovagethread.gateway.peer;
