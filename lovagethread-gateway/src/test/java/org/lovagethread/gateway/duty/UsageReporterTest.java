package org.lovagethread.gateway.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.store.FakeStore;

class UsageReporterTest {
    private static final long WINDOW_MILLIS = 5_000;

    private final FakeStore store = new FakeStore();
    private final RecordingApi api = new RecordingApi();
    private final Gateway one = new Gateway(10_000);
    private final Gateway two = new Gateway(10_000);
    private long now = 1_000_000;
    private long eraSinceMillis;

    private record Report(long window, Map<String, Long> requests) {}

    /** Records reports and completes each call with a configurable outcome. */
    private static final class RecordingApi implements DutyApi {
        private final List<Report> reports = new ArrayList<>();
        private Outcome outcome = Outcome.ACCEPTED;

        @Override
        public void reportUsage(
                long fencingToken, long window, Map<String, Long> requests, Consumer<Outcome> listener) {
            reports.add(new Report(window, Map.copyOf(requests)));
            listener.accept(outcome);
        }

        @Override
        public void order(long fencingToken, FleetOrder order, Consumer<Outcome> listener) {
            listener.accept(Outcome.ACCEPTED);
        }
    }

    private final class Gateway {
        private final UsageLedger ledger = new UsageLedger(WINDOW_MILLIS, () -> now);
        private final UsageReporter reporter;
        private boolean holdsLease;

        Gateway(long reportDeadlineMillis) {
            reporter = new UsageReporter(
                    store,
                    api,
                    ledger,
                    reportDeadlineMillis,
                    () -> now,
                    () -> now,
                    () -> holdsLease ? OptionalLong.of(1) : OptionalLong.empty(),
                    () -> eraSinceMillis,
                    new EventLog("node", new ByteArrayOutputStream()));
        }
    }

    private void run(long millis) {
        run(millis, one, two);
    }

    private void run(long millis, Gateway first, Gateway second) {
        for (long i = 0; i < millis; i += 100) {
            now += 100;
            first.reporter.tick();
            second.reporter.tick();
        }
    }

    @Test
    void sumsCountsOfAllGateways() {
        one.holdsLease = true;
        run(100);
        long window = one.ledger.windowAt(now);
        one.ledger.recordStart("ice");
        one.ledger.update("two#1", window, "ice", 4);
        one.ledger.update("two#1", window, "ice", 3);
        run(9_000);
        assertThat(api.reports).contains(new Report(window, Map.of("ice", 5L)));
        assertThat(api.reports.stream().filter(report -> report.window() == window))
                .hasSize(1);
    }

    @Test
    void sendsSameCountsAfterChangeOfHolder() {
        one.holdsLease = true;
        run(100);
        long window = one.ledger.windowAt(now);
        one.ledger.recordStart("ice");
        two.ledger.recordStart("ice");
        two.ledger.recordStart("ice");
        api.outcome = DutyApi.Outcome.UNKNOWN;
        run(8_000);
        one.holdsLease = false;
        two.holdsLease = true;
        api.outcome = DutyApi.Outcome.ACCEPTED;
        run(2_000);
        List<Report> reports =
                api.reports.stream().filter(report -> report.window() == window).toList();
        assertThat(reports).hasSizeGreaterThan(1);
        assertThat(reports).allMatch(report -> report.requests().equals(Map.of("ice", 1L)));
    }

    // The stored counts were removed before the deadline of their window, so a successor reported its own.
    @Test
    void sendsSameCountsAfterChangeOfHolderUntilALateDeadline() {
        Gateway first = new Gateway(12 * WINDOW_MILLIS);
        Gateway second = new Gateway(12 * WINDOW_MILLIS);
        first.holdsLease = true;
        run(100, first, second);
        long window = first.ledger.windowAt(now);
        first.ledger.recordStart("ice");
        second.ledger.recordStart("ice");
        second.ledger.recordStart("ice");
        for (int i = 0; i < 10; i++) {
            run(WINDOW_MILLIS, first, second);
            first.ledger.recordStart("ice");
        }
        first.holdsLease = false;
        second.holdsLease = true;
        run(WINDOW_MILLIS, first, second);
        assertThat(api.reports.stream().filter(report -> report.window() == window))
                .isNotEmpty()
                .allMatch(report -> report.requests().equals(Map.of("ice", 1L)));
    }

    @Test
    void sendsNothingWithoutLease() {
        run(100);
        one.ledger.recordStart("ice");
        run(10_000);
        assertThat(api.reports).isEmpty();
    }

    /** The store comes back from an older copy, without what was stored about windows that have been reported. */
    @Nested
    class RestoredStore {
        private final FakeStore.Copy empty = store.copy();

        private void handOver() {
            store.restore(empty);
            eraSinceMillis = now;
            one.holdsLease = false;
            two.holdsLease = true;
        }

        @Test
        void doesNotMakeSuccessorReportOtherCounts() {
            one.holdsLease = true;
            run(100);
            long window = one.ledger.windowAt(now);
            one.ledger.recordStart("ice");
            two.ledger.recordStart("ice");
            two.ledger.recordStart("ice");
            run(8_000);
            handOver();
            run(8_000);
            assertThat(api.reports.stream().filter(report -> report.window() == window))
                    .containsExactly(new Report(window, Map.of("ice", 1L)));
        }

        @Test
        void doesNotKeepLaterWindowsFromBeingReported() {
            one.holdsLease = true;
            run(8_000);
            handOver();
            long window = two.ledger.windowAt(now);
            two.ledger.recordStart("ice");
            run(9_000);
            assertThat(api.reports).containsExactly(new Report(window, Map.of("ice", 1L)));
        }
    }
}
