/** Types of the configuration that a gateway has in force. */
package org.lovagethread.gateway.config;
