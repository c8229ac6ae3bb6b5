/** Gateway that forwards requests of callers to upstreams, running as one process per instance. */
package org.lovagethread.gateway;
