/** Workers that run on threads of their own, the bounded queues between them, and their supervisor. */
package org.lovagethread.node.worker;
