/** Types of the active configuration of a gateway. */
package org.lovagethread.gateway.config;
