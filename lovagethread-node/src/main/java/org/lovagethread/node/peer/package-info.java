/** The duty that talks to the other nodes. */
package org.lovagethread.node.peer;
