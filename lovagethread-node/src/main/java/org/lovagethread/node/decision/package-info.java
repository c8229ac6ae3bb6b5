/** The duty that owns the decision core, and the routing of its commands to the other duties. */
package org.lovagethread.node.decision;
