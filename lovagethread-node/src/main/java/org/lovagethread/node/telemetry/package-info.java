/** Logs, metrics and the history of decisions. */
package org.lovagethread.node.telemetry;
