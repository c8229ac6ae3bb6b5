/** The HTTP interface for callers and operators. */
package org.lovagethread.node.caller;
