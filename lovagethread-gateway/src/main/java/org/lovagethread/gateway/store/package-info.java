/** Ports to the store that keeps what must last. */
package org.lovagethread.gateway.store;
