/** The operators' command line. */
package org.lovagethread.cli;
