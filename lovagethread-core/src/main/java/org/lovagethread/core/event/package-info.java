/** Input events of the core. */
package org.lovagethread.core.event;
