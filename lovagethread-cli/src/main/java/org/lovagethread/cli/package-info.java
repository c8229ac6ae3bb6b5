/** The command-line interface for operators. */
package org.lovagethread.cli;
