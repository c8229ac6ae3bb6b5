/** What the connection of a caller and the processing of its request tell each other. */
package org.lovagethread.gateway.exchange;
