package org.lovagethread.gateway.duty;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.ObjectStore;
import org.lovagethread.gateway.store.StoreReply;
import org.lovagethread.gateway.store.StoreReply.Status;
import org.lovagethread.gateway.store.StoredObject;

/**
 * Reports the usage of each window while this gateway holds the lease.
 *
 * <p>The counts of a window are stored before they are first sent, so that a successor sends the same counts. A store
 * that comes back from an older copy may have lost them, so a window that may have been reported in an earlier era of
 * the store is not reported again.
 */
public final class UsageReporter {
    /** Time after the end of a window within which the counts of all gateways arrive, in milliseconds. */
    private static final long COLLECTION_MILLIS = 2_500;

    /** Delay between two attempts, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 400;

    private static final String PREFIX = "usage-";
    private static final String REQUESTS = "requests";

    /** Number of windows for which a stored report is kept after the deadline of its window. */
    private static final int WINDOWS_AFTER_DEADLINE = 6;

    private final ObjectStore store;
    private final DutyApi api;
    private final UsageLedger ledger;
    private final LongSupplier clusterTime;
    private final LongSupplier monotonicClock;
    private final Supplier<OptionalLong> fencingToken;
    private final LongSupplier eraSinceMillis;
    private final EventLog log;
    private final long reportDeadlineMillis;
    private final long storedWindows;
    private final TreeSet<Long> completedWindows = new TreeSet<>();
    private final Map<Long, Map<String, Long>> storedCounts = new HashMap<>();
    private final Map<Long, Long> nextAttemptMillis = new HashMap<>();
    private long firstWindow = Long.MIN_VALUE;

    /**
     * Creates a reporter.
     *
     * @param store stores the counts
     * @param api receives the reports
     * @param ledger provides the counts
     * @param reportDeadlineMillis the time after the end of a window by which its report is due, in milliseconds
     * @param clusterTime supplies the cluster time in milliseconds since the epoch
     * @param monotonicClock a monotonic clock in milliseconds
     * @param fencingToken supplies the fencing token if a call may be started
     * @param eraSinceMillis supplies the cluster time by which the era of the store has begun
     * @param log receives a line for each report
     */
    public UsageReporter(
            ObjectStore store,
            DutyApi api,
            UsageLedger ledger,
            long reportDeadlineMillis,
            LongSupplier clusterTime,
            LongSupplier monotonicClock,
            Supplier<OptionalLong> fencingToken,
            LongSupplier eraSinceMillis,
            EventLog log) {
        this.store = store;
        this.api = api;
        this.ledger = ledger;
        this.reportDeadlineMillis = reportDeadlineMillis;
        this.storedWindows = ledger.windowAt(reportDeadlineMillis) + WINDOWS_AFTER_DEADLINE;
        this.clusterTime = clusterTime;
        this.monotonicClock = monotonicClock;
        this.fencingToken = fencingToken;
        this.eraSinceMillis = eraSinceMillis;
        this.log = log;
    }

    /** Sends the reports that are due. */
    public void tick() {
        long now = clusterTime.getAsLong();
        if (firstWindow == Long.MIN_VALUE) {
            firstWindow = ledger.windowAt(now);
        }
        if (fencingToken.get().isEmpty()) {
            return;
        }
        long latest = ledger.windowAt(now - COLLECTION_MILLIS) - 1;
        long oldest = Math.max(ledger.windowAt(now - reportDeadlineMillis) - 1, firstWindow - storedWindows);
        for (long window = oldest; window <= latest; window++) {
            if (!completedWindows.contains(window)
                    && nextAttemptMillis.getOrDefault(window, 0L) <= monotonicClock.getAsLong()) {
                reportOrOmit(window);
            }
        }
        while (completedWindows.size() > 2 * storedWindows) {
            completedWindows.pollFirst();
        }
    }

    private void reportOrOmit(long window) {
        // No report is stored before the collection time has passed, which allows for differences between clocks.
        if (ledger.endMillis(window) > eraSinceMillis.getAsLong()) {
            report(window);
            return;
        }
        completedWindows.add(window);
        log.add(log.line("usage-report")
                .put("window", window)
                .put("fence", fencingToken.get().orElse(0))
                .put("outcome", "OMITTED"));
    }

    private void report(long window) {
        nextAttemptMillis.put(window, monotonicClock.getAsLong() + RETRY_DELAY_MILLIS);
        Map<String, Long> counts = storedCounts.get(window);
        if (counts != null) {
            send(window, counts);
            return;
        }
        Map<String, Long> total = ledger.total(window);
        if (total.isEmpty()) {
            sendStored(window);
            return;
        }
        store.create(ObjectKind.DUTIES, PREFIX + window, encode(total), reply -> onStored(window, reply));
    }

    /** Sends the stored report, if any, of a window for which this gateway has no counts. */
    private void sendStored(long window) {
        store.read(ObjectKind.DUTIES, PREFIX + window, reply -> {
            if (reply.status() == Status.MISSING) {
                completedWindows.add(window);
            } else {
                onStored(window, reply);
            }
        });
    }

    private void onStored(long window, StoreReply<StoredObject> reply) {
        boolean available = reply.status() == Status.OK || reply.status() == Status.CONFLICT;
        if (available && reply.value().isPresent()) {
            storedCounts.put(window, decode(reply.value().get().content()));
            send(window, storedCounts.get(window));
        }
    }

    private void send(long window, Map<String, Long> counts) {
        OptionalLong token = fencingToken.get();
        if (token.isEmpty() || completedWindows.contains(window)) {
            return;
        }
        nextAttemptMillis.put(window, monotonicClock.getAsLong() + 3 * RETRY_DELAY_MILLIS);
        api.reportUsage(
                token.getAsLong(), window, counts, outcome -> onOutcome(window, counts, token.getAsLong(), outcome));
    }

    private void onOutcome(long window, Map<String, Long> counts, long token, DutyApi.Outcome outcome) {
        log.add(log.line("usage-report")
                .put("window", window)
                .put(
                        "requests",
                        counts.values().stream().mapToLong(Long::longValue).sum())
                .put("fence", token)
                .put("outcome", outcome.name()));
        if (outcome == DutyApi.Outcome.UNKNOWN) {
            nextAttemptMillis.put(window, monotonicClock.getAsLong() + RETRY_DELAY_MILLIS);
            return;
        }
        completedWindows.add(window);
        storedCounts.remove(window);
        nextAttemptMillis.remove(window);
        store.remove(ObjectKind.DUTIES, PREFIX + (window - storedWindows), reply -> {});
    }

    private static ObjectNode encode(Map<String, Long> counts) {
        ObjectNode content = JsonNodeFactory.instance.objectNode();
        ObjectNode requests = content.putObject(REQUESTS);
        counts.forEach(requests::put);
        return content;
    }

    private static Map<String, Long> decode(JsonNode content) {
        Map<String, Long> counts = new HashMap<>();
        content.path(REQUESTS)
                .fields()
                .forEachRemaining(
                        entry -> counts.put(entry.getKey(), entry.getValue().asLong()));
        return counts;
    }
}
