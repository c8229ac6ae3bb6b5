/** Attempts at upstreams over HTTP, and the checks that an answer is whole and belongs to its call. */
package org.lovagethread.node.upstream;
