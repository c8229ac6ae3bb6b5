package org.lovagethread.gateway.link;

import java.util.OptionalLong;

/**
 * What a gateway states to its peers about its links to the upstreams.
 *
 * @param isolated whether it is cut off from all upstreams
 * @param reachedAgeMillis the time since it last reached an upstream, in milliseconds; empty if it never did
 */
public record LinkStatement(boolean isolated, OptionalLong reachedAgeMillis) {}
