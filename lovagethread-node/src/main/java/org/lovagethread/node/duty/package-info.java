/** Threads for duties, the bounded rings that join them, and their supervisor. */
package org.lovagethread.node.duty;
