/** Keeps a stream that is taken up again at the software version and the service that began it. */
package org.lovagethread.gateway.stream;
