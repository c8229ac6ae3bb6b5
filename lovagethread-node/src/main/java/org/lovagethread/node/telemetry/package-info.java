/** Logs, metrics and explanations of decisions. */
package org.lovagethread.node.telemetry;
