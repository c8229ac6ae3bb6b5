package org.lovagethread.gateway.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.store.FakeStore;

class UsageReporterTest {
    private static final long WINDOW_MILLIS = 5_000;

    private final FakeStore store = new FakeStore();
    private final FakeApi api = new FakeApi();
    private final Node one = new Node();
    private final Node two = new Node();
    private long now = 1_000_000;

    private record Report(long window, Map<String, Long> requests) {}

    /** Records reports and completes each call with a configurable outcome. */
    private static final class FakeApi implements DutyApi {
        private final List<Report> reports = new ArrayList<>();
        private Outcome outcome = Outcome.ACCEPTED;

        @Override
        public void reportUsage(long fence, long window, Map<String, Long> requests, Consumer<Outcome> told) {
            reports.add(new Report(window, Map.copyOf(requests)));
            told.accept(outcome);
        }

        @Override
        public void order(long fence, FleetOrder order, Consumer<Outcome> told) {
            told.accept(Outcome.ACCEPTED);
        }
    }

    private final class Node {
        private final UsageLedger ledger = new UsageLedger(WINDOW_MILLIS, () -> now);
        private boolean leads;
        private final UsageReporter reporter = new UsageReporter(
                store,
                api,
                ledger,
                10_000,
                () -> now,
                () -> now,
                () -> leads ? OptionalLong.of(1) : OptionalLong.empty(),
                new EventLog("node", new ByteArrayOutputStream()));
    }

    private void run(long millis) {
        for (long i = 0; i < millis; i += 100) {
            now += 100;
            one.reporter.tick();
            two.reporter.tick();
        }
    }

    @Test
    void sumsTheCountsOfAllGateways() {
        one.leads = true;
        run(100);
        long window = one.ledger.window(now);
        one.ledger.began("ice");
        one.ledger.heard("two#1", window, "ice", 4);
        one.ledger.heard("two#1", window, "ice", 3);
        run(9_000);
        assertThat(api.reports).contains(new Report(window, Map.of("ice", 5L)));
        assertThat(api.reports.stream().filter(report -> report.window() == window))
                .hasSize(1);
    }

    @Test
    void repeatsTheSameCountsAfterAChangeOfLeader() {
        one.leads = true;
        run(100);
        long window = one.ledger.window(now);
        one.ledger.began("ice");
        two.ledger.began("ice");
        two.ledger.began("ice");
        api.outcome = DutyApi.Outcome.UNKNOWN;
        run(8_000);
        one.leads = false;
        two.leads = true;
        api.outcome = DutyApi.Outcome.ACCEPTED;
        run(2_000);
        List<Report> reports =
                api.reports.stream().filter(report -> report.window() == window).toList();
        assertThat(reports).hasSizeGreaterThan(1);
        assertThat(reports).allMatch(report -> report.requests().equals(Map.of("ice", 1L)));
    }

    @Test
    void sendsNothingWithoutTheLease() {
        run(100);
        one.ledger.began("ice");
        run(10_000);
        assertThat(api.reports).isEmpty();
    }
}
