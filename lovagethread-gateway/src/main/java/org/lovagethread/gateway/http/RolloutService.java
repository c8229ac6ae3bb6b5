package org.lovagethread.gateway.http;

import java.util.List;
import java.util.function.LongSupplier;
import org.lovagethread.gateway.log.GatewayMetrics;
import org.lovagethread.gateway.policy.ZoneTopology;
import org.lovagethread.gateway.rollout.RolloutController;
import org.lovagethread.gateway.rollout.RolloutJudge;
import org.lovagethread.gateway.rollout.RolloutLog;
import org.lovagethread.gateway.rollout.RolloutOrders;
import org.lovagethread.gateway.rollout.RolloutReport;
import org.lovagethread.gateway.rollout.RolloutTable;
import org.lovagethread.gateway.store.KindWatcher;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.wire.generated.RolloutSummary;

/** Connects the rollouts of a gateway with the store, its peers and its metrics. */
final class RolloutService {
    /** Minimum time between two reports with statistics, in milliseconds. */
    private static final long STATISTICS_INTERVAL_MILLIS = 250;

    /** Maximum delay before a failed watch call is retried, in milliseconds. */
    private static final long MAX_RETRY_DELAY_MILLIS = 800;

    private static final double PER_CENT = 100;

    /**
     * Maximum wait of one call of the watch, in milliseconds. It may be long although the connection may go silent,
     * because other gateways watch as well and report the orders that they know.
     */
    private static final long MAX_WAIT_MILLIS = 20_000;

    private final Gateway gateway;
    private final boolean enabled;
    private final RolloutTable table;
    private final RolloutController controller;
    private final KindWatcher watcher;
    private boolean watching;
    private long nextStatisticsMillis;

    /**
     * Creates a service without rollouts.
     *
     * @param gateway the gateway, whose lease and synchronization exist already
     * @param zones the distances between availability zones
     * @param clusterTime supplies the cluster time in milliseconds since the epoch
     */
    RolloutService(Gateway gateway, ZoneTopology zones, LongSupplier clusterTime) {
        this.gateway = gateway;
        this.enabled = gateway.settings().bounds().rollout().isPresent();
        RolloutLog log = new RolloutLog(gateway.log());
        String self = gateway.settings().node() + '#' + gateway.incarnation();
        this.table = new RolloutTable(gateway.settings().bounds().rollout(), zones, self, Math::random, log);
        RolloutOrders orders =
                new RolloutOrders(gateway.ports().configurationDecoder(), table, gateway::nowMillis, log);
        this.controller = new RolloutController(
                gateway.store(),
                gateway.ports().configurationDecoder(),
                table,
                orders,
                log,
                gateway::nowMillis,
                clusterTime,
                gateway.lease()::fencingToken);
        this.watcher = new KindWatcher(
                gateway.store(),
                ObjectKind.ROLLOUTS,
                new KindWatcher.Timing(MAX_WAIT_MILLIS, 0, MAX_RETRY_DELAY_MILLIS),
                gateway,
                orders);
        gateway.store().onRestore(() -> gateway.schedule(0, this::listAgain));
    }

    private void listAgain() {
        if (watching) {
            watcher.restart();
        }
    }

    /** Returns the rollouts. */
    RolloutTable table() {
        return table;
    }

    /** Evaluates the rollouts and makes the calls to the store that are due. */
    void tick(long nowMillis) {
        if (!enabled) {
            return;
        }
        // The lease holder writes to the orders, so it reads them itself even if its speaker watches the store for it.
        boolean isHolder = gateway.lease().fencingToken().isPresent();
        boolean shouldWatch =
                (isHolder || gateway.sync().isWatching()) && gateway.sync().isComplete();
        if (shouldWatch != watching) {
            watching = shouldWatch;
            if (watching) {
                watcher.start();
            } else {
                watcher.pause();
            }
        }
        table.tick(gateway.gatewayCount(), nowMillis);
        controller.tick();
    }

    /** Returns what the state of this gateway contains about its rollouts. */
    List<RolloutSummary> gatewaySummaries(long nowMillis) {
        boolean withStatistics = nowMillis >= nextStatisticsMillis;
        if (withStatistics) {
            nextStatisticsMillis = nowMillis + STATISTICS_INTERVAL_MILLIS;
        }
        return RolloutReportCodec.encode(table.reports(reporter -> false, nowMillis), withStatistics, nowMillis);
    }

    /** Returns what the summary of this cell contains about its rollouts. */
    List<RolloutSummary> cellSummaries(boolean withStatistics, long nowMillis) {
        return RolloutReportCodec.encode(
                table.reports(reporter -> !reporter.startsWith(CellExchange.CELL_PREFIX), nowMillis),
                withStatistics,
                nowMillis);
    }

    /** Applies the state of a peer. It speaks for one gateway only. */
    void applyGateway(String process, List<RolloutSummary> summaries, long nowMillis) {
        for (RolloutReport report : RolloutReportCodec.decode(summaries, nowMillis)) {
            table.applyReport(process, report.withStoppedAtMost(1), nowMillis);
        }
    }

    /** Applies the summary of another cell. */
    void applyCell(String cell, int members, List<RolloutSummary> summaries, long nowMillis) {
        for (RolloutReport report : RolloutReportCodec.decode(summaries, nowMillis)) {
            table.applyReport(cell, report.withStoppedAtMost(members), nowMillis);
        }
    }

    /** Writes the state of the rollouts to the metrics. */
    void expose(GatewayMetrics metrics) {
        for (String service : table.services()) {
            RolloutJudge judge = table.judge(service).orElseThrow();
            metrics.setRollout(
                    service, "stage", table.stage(service).orElseThrow().number());
            metrics.setRollout(service, "stopped", judge.isBad() ? 1 : 0);
            metrics.setRollout(service, "target_per_mille", table.targetPerMille(service));
            metrics.setRollout(service, "target_responses", judge.targetResponses());
            metrics.setRollout(service, "target_failures", judge.targetFailures());
            metrics.setRollout(service, "target_slow", judge.targetSlow());
            metrics.setRollout(service, "old_responses", judge.controlResponses());
            metrics.setRollout(service, "old_failures", judge.controlFailures());
            metrics.setRollout(service, "evidence_percent", (long) (PER_CENT * judge.evidence()));
        }
    }
}
