/** Table of upstreams and the work in progress at them. */
package org.lovagethread.gateway.upstream;
