/** Gateway that passes requests of callers to upstreams, as one process on each instance. */
package org.lovagethread.gateway;
