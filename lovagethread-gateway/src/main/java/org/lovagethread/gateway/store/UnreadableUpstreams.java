package org.lovagethread.gateway.store;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.log.LogRateLimiter;

/** Logs why entries of upstreams cannot be read, once for each new reason. */
final class UnreadableUpstreams {
    private static final int MAX_LINES_PER_SECOND = 10;

    /** Maximum length of logged names and reasons. */
    private static final int MAX_LOGGED_CHARS = 200;

    private final EventLog log;
    private final Map<String, String> reasons = new HashMap<>();
    private final LogRateLimiter lines = new LogRateLimiter(MAX_LINES_PER_SECOND);

    UnreadableUpstreams(EventLog log) {
        this.log = log;
    }

    /** Records that an entry cannot be read, and logs it unless the reason is that of the last time. */
    void add(String name, String reason, long nowMillis) {
        String shortReason = abbreviate(reason);
        boolean isKnown = shortReason.equals(reasons.put(name, shortReason));
        if (isKnown || !lines.tryAcquire(nowMillis)) {
            return;
        }
        log.add(log.line("upstream-unreadable")
                .put("upstream", abbreviate(name))
                .put("reason", shortReason)
                .put("omitted_before", lines.resetOmitted()));
    }

    /** Records that an entry can be read or was removed. */
    void remove(String name) {
        reasons.remove(name);
    }

    /** Forgets the entries that no longer exist. */
    void retainAll(Collection<String> names) {
        reasons.keySet().retainAll(names);
    }

    private static String abbreviate(String text) {
        return text.length() <= MAX_LOGGED_CHARS ? text : text.substring(0, MAX_LOGGED_CHARS) + "...";
    }
}
