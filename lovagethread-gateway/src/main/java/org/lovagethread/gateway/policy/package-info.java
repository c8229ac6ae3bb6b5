/** Decision logic of the gateway, without I/O and without access to clocks. */
package org.lovagethread.gateway.policy;
