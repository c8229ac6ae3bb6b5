/** The worker that communicates with the other nodes. */
package org.lovagethread.node.peer;
