package org.lovagethread.gateway.relay;

import java.net.InetSocketAddress;
import org.lovagethread.gateway.policy.ZoneTopology.Distance;

/**
 * A peer that accepts requests and has not said that it is isolated.
 *
 * @param address the address for relay connections
 * @param distance the distance from this gateway
 * @param reachedUpstream whether the peer has said that it reached an upstream lately
 * @param relayedRequests the number of requests that it runs for other gateways, as far as known
 */
public record RelayPeer(InetSocketAddress address, Distance distance, boolean reachedUpstream, int relayedRequests) {}
