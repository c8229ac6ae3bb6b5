package org.lovagethread.gateway.link;

import java.util.Collection;
import java.util.OptionalLong;

/**
 * What a gateway states to its peers about its links to the upstreams.
 *
 * @param isolated whether it is cut off from all upstreams
 * @param reachedAgeMillis the time since it last reached an upstream, in milliseconds; empty if it never did
 */
public record LinkStatement(boolean isolated, OptionalLong reachedAgeMillis) {

    /**
     * Combines the statements of the gateways of an availability zone.
     *
     * @param statements the statements, at least one
     * @return a statement that is isolated if all are, with the latest contact of those that are not
     */
    public static LinkStatement combine(Collection<LinkStatement> statements) {
        OptionalLong latestAgeMillis = statements.stream()
                .filter(statement -> !statement.isolated())
                .flatMapToLong(statement -> statement.reachedAgeMillis().stream())
                .min();
        return new LinkStatement(statements.stream().allMatch(LinkStatement::isolated), latestAgeMillis);
    }

    /**
     * Returns this statement as it reads some time later.
     *
     * @param millis the time in milliseconds
     * @return a statement with a higher age
     */
    public LinkStatement delayedBy(long millis) {
        return new LinkStatement(
                isolated,
                reachedAgeMillis.isPresent()
                        ? OptionalLong.of(reachedAgeMillis.getAsLong() + millis)
                        : OptionalLong.empty());
    }
}
