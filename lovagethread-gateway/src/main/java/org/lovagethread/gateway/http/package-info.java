/** Receives HTTP requests from callers and forwards them to upstreams. */
package org.lovagethread.gateway.http;
