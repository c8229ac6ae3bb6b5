/** Decides whether this gateway as a whole is cut off from the upstreams, without I/O and without access to clocks. */
package org.lovagethread.gateway.link;
