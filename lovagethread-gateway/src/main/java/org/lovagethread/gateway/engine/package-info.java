/** Performance model of model engines, learned from the streams of all gateways. */
package org.lovagethread.gateway.engine;
