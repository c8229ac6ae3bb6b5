/** The worker that runs the core, the recorder of its events, and the receiver of its commands. */
package org.lovagethread.node.decision;
