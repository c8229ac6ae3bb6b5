package org.lovagethread.gateway.link;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableSet;
import java.util.OptionalLong;
import java.util.TreeSet;

/** What the peers have stated about their links to the upstreams. Not thread-safe. */
final class PeerLinks {
    /** Age from which a statement is no longer used, in milliseconds. */
    private static final long STATEMENT_TIMEOUT_MILLIS = 900;

    /** Time for which contacts of peers with upstreams are kept, in milliseconds. */
    private static final long CONTACT_LIFETIME_MILLIS = 3_000;

    private final Map<String, Statement> statements = new HashMap<>();
    private final NavigableSet<Long> contacts = new TreeSet<>();

    private record Statement(boolean isolated, OptionalLong reachedMillis, long expiryMillis) {
        boolean hasReachedSince(long sinceMillis) {
            return !isolated && reachedMillis.isPresent() && reachedMillis.getAsLong() > sinceMillis;
        }
    }

    void update(String peer, LinkStatement statement, long nowMillis) {
        OptionalLong age = statement.reachedAgeMillis();
        OptionalLong reachedMillis =
                age.isPresent() ? OptionalLong.of(nowMillis - Math.max(0, age.getAsLong())) : OptionalLong.empty();
        if (!statement.isolated()) {
            reachedMillis.ifPresent(contacts::add);
        }
        statements.put(peer, new Statement(statement.isolated(), reachedMillis, nowMillis + STATEMENT_TIMEOUT_MILLIS));
    }

    void expire(long nowMillis) {
        statements.values().removeIf(statement -> nowMillis >= statement.expiryMillis());
        contacts.headSet(nowMillis - CONTACT_LIFETIME_MILLIS).clear();
    }

    void clear() {
        statements.clear();
        contacts.clear();
    }

    /** Returns the first known contact of a peer with an upstream after a time; empty if there is none. */
    OptionalLong firstContactAfter(long millis) {
        Long contact = contacts.higher(millis);
        return contact == null ? OptionalLong.empty() : OptionalLong.of(contact);
    }

    /** Returns the number of peers that are not isolated and have reached an upstream after a time. */
    int reachingSince(long sinceMillis) {
        return (int) statements.values().stream()
                .filter(statement -> statement.hasReachedSince(sinceMillis))
                .count();
    }
}
