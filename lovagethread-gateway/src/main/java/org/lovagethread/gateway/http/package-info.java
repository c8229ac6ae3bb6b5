/** Serves callers over HTTP and passes their requests to upstreams. */
package org.lovagethread.gateway.http;
