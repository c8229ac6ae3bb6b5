/**
 * Passes requests of callers as a whole to a peer if this gateway has lost its links to all upstreams, and runs requests
 * of such peers.
 *
 * <p>Each request has a connection of its own: a slow caller holds up no other request, closing the connection cancels
 * the request, and the buffers of the connection are its flow-control window. The sender offers a request and sends it
 * only after the peer has accepted the offer, so that a peer that cannot be reached, is suspended or is isolated itself
 * never leaves the outcome unknown.
 */
package org.lovagethread.gateway.relay;
