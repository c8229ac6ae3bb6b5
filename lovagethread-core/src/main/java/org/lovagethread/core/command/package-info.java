/** Commands that the decision core emits to the other duties of a node. */
package org.lovagethread.core.command;
