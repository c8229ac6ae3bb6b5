/** The node process: its settings, start-up and shutdown, and the supervision of its workers. */
package org.lovagethread.node;
