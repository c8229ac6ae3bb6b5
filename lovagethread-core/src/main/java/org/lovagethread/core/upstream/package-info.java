/** Table of upstreams and the selection of an upstream for an attempt. */
package org.lovagethread.core.upstream;
