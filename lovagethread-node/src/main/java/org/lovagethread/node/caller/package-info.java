/** The HTTP interface for callers and operators, and the state of open calls. */
package org.lovagethread.node.caller;
