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
 * <p>The counts of a window are stored before they are first sent, so that a successor sends the same counts.
 */
public final class UsageReporter {
    /** Time after the end of a window within which the counts of all gateways arrive, in milliseconds. */
    private static final long SETTLE_MILLIS = 2_500;

    /** Delay between two attempts, in milliseconds. */
    private static final long RETRY_MILLIS = 400;

    private static final String PREFIX = "usage-";
    private static final String REQUESTS = "requests";

    /** Number of windows after which a stored report is removed. */
    private static final int KEPT_REPORTS = 8;

    private final ObjectStore store;
    private final DutyApi api;
    private final UsageLedger ledger;
    private final LongSupplier trueTime;
    private final LongSupplier steady;
    private final Supplier<OptionalLong> fence;
    private final EventLog log;
    private final long lateMillis;
    private final TreeSet<Long> done = new TreeSet<>();
    private final Map<Long, Map<String, Long>> fixed = new HashMap<>();
    private final Map<Long, Long> retryAt = new HashMap<>();
    private long firstWindow = Long.MIN_VALUE;

    /**
     * Creates a reporter.
     *
     * @param store stores the counts
     * @param api receives the reports
     * @param ledger provides the counts
     * @param lateMillis the time after the end of a window by which its report is due, in milliseconds
     * @param trueTime supplies the cluster time in milliseconds since the epoch
     * @param steady a monotonic clock in milliseconds
     * @param fence supplies the fencing token if a call may be started
     * @param log receives a line for each report
     */
    public UsageReporter(
            ObjectStore store,
            DutyApi api,
            UsageLedger ledger,
            long lateMillis,
            LongSupplier trueTime,
            LongSupplier steady,
            Supplier<OptionalLong> fence,
            EventLog log) {
        this.store = store;
        this.api = api;
        this.ledger = ledger;
        this.lateMillis = lateMillis;
        this.trueTime = trueTime;
        this.steady = steady;
        this.fence = fence;
        this.log = log;
    }

    /** Sends the reports that are due. */
    public void tick() {
        long now = trueTime.getAsLong();
        if (firstWindow == Long.MIN_VALUE) {
            firstWindow = ledger.window(now);
        }
        if (fence.get().isEmpty()) {
            return;
        }
        long newest = ledger.window(now - SETTLE_MILLIS) - 1;
        long oldest = Math.max(ledger.window(now - lateMillis) - 1, firstWindow - KEPT_REPORTS);
        for (long window = oldest; window <= newest; window++) {
            if (!done.contains(window) && retryAt.getOrDefault(window, 0L) <= steady.getAsLong()) {
                report(window);
            }
        }
        while (done.size() > 2 * KEPT_REPORTS) {
            done.pollFirst();
        }
    }

    private void report(long window) {
        retryAt.put(window, steady.getAsLong() + RETRY_MILLIS);
        Map<String, Long> counts = fixed.get(window);
        if (counts != null) {
            send(window, counts);
            return;
        }
        Map<String, Long> total = ledger.total(window);
        if (total.isEmpty()) {
            adopt(window);
            return;
        }
        store.create(ObjectKind.DUTIES, PREFIX + window, encode(total), reply -> fixed(window, reply));
    }

    /** Sends the stored report, if any, of a window for which this gateway has no counts. */
    private void adopt(long window) {
        store.read(ObjectKind.DUTIES, PREFIX + window, reply -> {
            if (reply.status() == Status.MISSING) {
                done.add(window);
            } else {
                fixed(window, reply);
            }
        });
    }

    private void fixed(long window, StoreReply<StoredObject> reply) {
        boolean known = reply.status() == Status.OK || reply.status() == Status.CONFLICT;
        if (known && reply.value().isPresent()) {
            fixed.put(window, decode(reply.value().get().content()));
            send(window, fixed.get(window));
        }
    }

    private void send(long window, Map<String, Long> counts) {
        OptionalLong number = fence.get();
        if (number.isEmpty() || done.contains(window)) {
            return;
        }
        retryAt.put(window, steady.getAsLong() + 3 * RETRY_MILLIS);
        api.reportUsage(number.getAsLong(), window, counts, outcome -> reported(window, counts, outcome));
    }

    private void reported(long window, Map<String, Long> counts, DutyApi.Outcome outcome) {
        log.add(log.line("usage-report")
                .put("window", window)
                .put(
                        "requests",
                        counts.values().stream().mapToLong(Long::longValue).sum())
                .put("outcome", outcome.name()));
        if (outcome == DutyApi.Outcome.UNKNOWN) {
            retryAt.put(window, steady.getAsLong() + RETRY_MILLIS);
            return;
        }
        done.add(window);
        fixed.remove(window);
        retryAt.remove(window);
        store.remove(ObjectKind.DUTIES, PREFIX + (window - KEPT_REPORTS), reply -> {});
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
