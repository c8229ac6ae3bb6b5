/** Table of upstreams and the choice of an upstream for an attempt. */
package org.lovagethread.core.upstream;
