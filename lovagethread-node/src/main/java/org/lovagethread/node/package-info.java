/** The node binary: settings, start and stop, and the supervisor of all duties. */
package org.lovagethread.node;
