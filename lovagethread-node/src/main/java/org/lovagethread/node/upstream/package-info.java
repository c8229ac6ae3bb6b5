/** Attempts to execute calls on upstreams over HTTP, and the checks that a response is complete and belongs to its call. */
package org.lovagethread.node.upstream;
