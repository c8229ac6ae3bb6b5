package org.lovagethread.gateway.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamTable;

/**
 * Groups the connections that upstreams broke during requests into crashes. Not thread-safe.
 *
 * <p>All broken connections of one incarnation of an upstream belong to one crash. An incarnation that sends data
 * afterwards has not crashed.
 */
public final class CrashLog {
    /** Time for which a crash is kept, in milliseconds. */
    public static final long RETENTION_MILLIS = 60_000;

    /** Time in which data that was sent before a crash may still be read, in milliseconds. */
    static final long SETTLING_MILLIS = 250;

    private static final int MAX_CRASHES = 64;
    private static final int MAX_PARTS_PER_CRASH = 128;

    private final Map<Integer, Crash> byId = new LinkedHashMap<>();

    /** Broken connections of one incarnation of an upstream. */
    public static final class Crash {
        private final UpstreamEntry upstream;
        private final long atMillis;
        private final Set<String> interruptedParts = new LinkedHashSet<>();
        private final Set<String> unansweredParts = new LinkedHashSet<>();
        private final Set<String> begunParts = new HashSet<>();
        private final Set<String> exoneratedParts = new HashSet<>();
        private int brokenRequests;
        private int unansweredRequests;
        private long longestWaitMillis;
        private boolean reported;
        private boolean refuted;

        private Crash(UpstreamEntry upstream, long atMillis) {
            this.upstream = upstream;
            this.atMillis = atMillis;
        }

        /**
         * Returns the registration of the upstream.
         *
         * @return its entry when its first connection broke
         */
        public UpstreamEntry upstream() {
            return upstream;
        }

        /**
         * Returns the identifier of the crash.
         *
         * @return the result of {@link #idOf} for the upstream
         */
        public int id() {
            return idOf(upstream);
        }

        /**
         * Returns when the first connection broke.
         *
         * @return the time in milliseconds
         */
        public long atMillis() {
            return atMillis;
        }

        /**
         * Returns the number of requests whose connections broke.
         *
         * @return the requests of this gateway
         */
        public int brokenRequests() {
            return brokenRequests;
        }

        /**
         * Returns how many of the requests had received no event.
         *
         * @return the requests of this gateway
         */
        public int unansweredRequests() {
            return unansweredRequests;
        }

        /**
         * Returns how long the oldest of the requests that had received no event had waited.
         *
         * @return the time in milliseconds
         */
        public long longestWaitMillis() {
            return longestWaitMillis;
        }

        /**
         * Returns the shared prompt parts of the requests.
         *
         * @return the identifiers of the parts
         */
        public Set<String> interruptedParts() {
            return interruptedParts;
        }

        /**
         * Returns the shared prompt parts of the requests that had received no event.
         *
         * @return the identifiers of the parts
         */
        public Set<String> unansweredParts() {
            return unansweredParts;
        }

        /**
         * Returns the shared prompt parts of the requests whose responses had begun.
         *
         * @return the identifiers of the parts
         */
        public Set<String> begunParts() {
            return begunParts;
        }

        /**
         * Returns the shared prompt parts that no response has cleared since.
         *
         * @return the identifiers of the parts
         */
        public Set<String> suspectedParts() {
            Set<String> suspected = new HashSet<>(interruptedParts);
            suspected.removeAll(exoneratedParts);
            return suspected;
        }

        /**
         * Returns whether the same incarnation has sent data afterwards, so that it has not crashed.
         *
         * @return true if the upstream only broke connections
         */
        public boolean isRefuted() {
            return refuted;
        }

        private void add(PromptPrefix prefix, boolean answered, long waitedMillis) {
            brokenRequests++;
            unansweredRequests += answered ? 0 : 1;
            longestWaitMillis = answered ? longestWaitMillis : Math.max(longestWaitMillis, waitedMillis);
            for (PromptPrefix.Part part : prefix.sharedParts()) {
                if (interruptedParts.size() < MAX_PARTS_PER_CRASH) {
                    interruptedParts.add(part.id());
                }
                if (interruptedParts.contains(part.id())) {
                    (answered ? begunParts : unansweredParts).add(part.id());
                }
            }
        }

        private void checkFor(UpstreamTable upstreams) {
            Optional<Upstream> current = upstreams.find(upstream.id());
            refuted = refuted
                    || current.filter(found -> idOf(found.entry()) == id()
                                    && found.lastReceivedMillis() > atMillis + SETTLING_MILLIS)
                            .isPresent();
        }
    }

    /**
     * Returns the identifier of the crash of an incarnation, which is the same at all gateways.
     *
     * @param upstream the registration of the upstream
     * @return a hash of its id and start time
     */
    public static int idOf(UpstreamEntry upstream) {
        return (upstream.id() + '@' + upstream.startedAtMillis()).hashCode();
    }

    /**
     * Records that the connection of a request broke.
     *
     * @param upstream the upstream
     * @param prefix the parts of the prompt
     * @param answered whether the request had received an event
     * @param sentMillis when the request was sent, in milliseconds
     * @param nowMillis the current time in milliseconds
     */
    public void recordBreak(
            UpstreamEntry upstream, PromptPrefix prefix, boolean answered, long sentMillis, long nowMillis) {
        Crash crash = byId.get(idOf(upstream));
        if (crash == null || crash.refuted) {
            byId.remove(idOf(upstream));
            crash = new Crash(upstream, nowMillis);
            byId.put(idOf(upstream), crash);
            removeOldest();
        }
        crash.add(prefix, answered, nowMillis - sentMillis);
    }

    private void removeOldest() {
        Iterator<Crash> oldest = byId.values().iterator();
        while (byId.size() > MAX_CRASHES) {
            oldest.next();
            oldest.remove();
        }
    }

    /**
     * Discards old crashes, and notes which upstreams have sent data since.
     *
     * @param upstreams the known upstreams
     * @param nowMillis the current time in milliseconds
     */
    public void update(UpstreamTable upstreams, long nowMillis) {
        byId.values().removeIf(crash -> nowMillis >= crash.atMillis + RETENTION_MILLIS);
        byId.values().forEach(crash -> crash.checkFor(upstreams));
    }

    /**
     * Discards the suspicion of parts that a response since a crash has cleared.
     *
     * @param latestResponses returns the times of the latest responses to a part
     */
    public void exonerate(Function<String, LatestResponses> latestResponses) {
        for (Crash crash : byId.values()) {
            crash.interruptedParts.stream()
                    .filter(part -> latestResponses.apply(part).clears(crash.begunParts.contains(part), crash.atMillis))
                    .forEach(crash.exoneratedParts::add);
        }
    }

    /**
     * Returns the crashes that have not been returned before, once no more data that was sent before them is expected.
     *
     * @param nowMillis the current time in milliseconds
     * @return the crashes in the order of their times, including refuted ones
     */
    public List<Crash> takeUnreported(long nowMillis) {
        List<Crash> unreported = new ArrayList<>();
        for (Crash crash : byId.values()) {
            if (!crash.reported && nowMillis >= crash.atMillis + 2 * SETTLING_MILLIS) {
                crash.reported = true;
                unreported.add(crash);
            }
        }
        return unreported;
    }

    /**
     * Returns the crashes of upstreams that have sent no data since.
     *
     * @return the crashes in the order of their times
     */
    public Collection<Crash> crashes() {
        return byId.values().stream().filter(crash -> !crash.refuted).toList();
    }
}
