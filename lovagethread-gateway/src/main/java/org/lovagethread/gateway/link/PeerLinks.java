package org.lovagethread.gateway.link;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/** What the peers have stated about their links to the upstreams. Not thread-safe. */
final class PeerLinks {
    /** Age from which a statement is no longer used, in milliseconds. */
    private static final long STATEMENT_TIMEOUT_MILLIS = 900;

    private final Map<String, Statement> statements = new HashMap<>();

    private record Statement(boolean isolated, OptionalLong reachedMillis, long expiryMillis) {
        boolean hasReachedSince(long sinceMillis) {
            return !isolated && reachedMillis.isPresent() && reachedMillis.getAsLong() > sinceMillis;
        }
    }

    void update(String peer, LinkStatement statement, long nowMillis) {
        OptionalLong age = statement.reachedAgeMillis();
        OptionalLong reachedMillis =
                age.isPresent() ? OptionalLong.of(nowMillis - Math.max(0, age.getAsLong())) : OptionalLong.empty();
        statements.put(peer, new Statement(statement.isolated(), reachedMillis, nowMillis + STATEMENT_TIMEOUT_MILLIS));
    }

    void expire(long nowMillis) {
        statements.values().removeIf(statement -> nowMillis >= statement.expiryMillis());
    }

    void clear() {
        statements.clear();
    }

    /** Returns when peers that are not isolated last reached an upstream; empty if none has stated that it did. */
    OptionalLong reachedMillis() {
        return statements.values().stream()
                .filter(statement ->
                        !statement.isolated() && statement.reachedMillis().isPresent())
                .mapToLong(statement -> statement.reachedMillis().getAsLong())
                .max();
    }

    /** Returns the number of peers that are not isolated and have reached an upstream after a time. */
    int reachingSince(long sinceMillis) {
        return (int) statements.values().stream()
                .filter(statement -> statement.hasReachedSince(sinceMillis))
                .count();
    }
}
