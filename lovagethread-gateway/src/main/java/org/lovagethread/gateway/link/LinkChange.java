package org.lovagethread.gateway.link;

/** A change between connected and isolated, with the observations that led to it. */
public sealed interface LinkChange {

    /**
     * The links to the upstreams were lost.
     *
     * @param failedUpstreams the number of upstreams to which connections failed since the last one succeeded
     * @param knownUpstreams the number of upstreams that could have been tried
     * @param reachingPeers the number of peers that have reached an upstream since
     * @param troubleMillis the time since the first of these connections was begun, in milliseconds
     */
    record Lost(int failedUpstreams, int knownUpstreams, int reachingPeers, long troubleMillis) implements LinkChange {}

    /**
     * The links to the upstreams were restored.
     *
     * @param answeredUpstreams the number of upstreams to which connections succeeded
     * @param isolatedMillis the time for which the gateway was isolated, in milliseconds
     */
    record Restored(int answeredUpstreams, long isolatedMillis) implements LinkChange {}
}
