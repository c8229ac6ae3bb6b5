/** Upstreams as the gateway knows them, and connections to them. */
package org.lovagethread.gateway.upstream;
