/** Commands that the core emits to the other components of a node. */
package org.lovagethread.core.command;
