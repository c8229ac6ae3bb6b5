/** Decisions of the gateway, free of input, output and clocks. */
package org.lovagethread.gateway.policy;
