package org.lovagethread.gateway.http;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import org.lovagethread.gateway.rollout.Rollout;
import org.lovagethread.gateway.rollout.RolloutReport;
import org.lovagethread.gateway.rollout.RolloutStage;
import org.lovagethread.gateway.rollout.VersionStatistics;
import org.lovagethread.wire.generated.RolloutSummary;
import org.lovagethread.wire.generated.RouteStatistics;

/** Encodes and decodes reports about rollouts in messages between gateways. */
final class RolloutReportCodec {
    /** Maximum number of reports that are read from one message. */
    private static final int MAX_REPORTS = 32;

    /** Indexes of the counts of a group are offset by this number times the number of the group. */
    private static final int INDEXES_PER_GROUP = 32;

    private static final long MAX_DURATION_MILLIS = 1L << 40;

    private RolloutReportCodec() {}

    /**
     * Encodes reports.
     *
     * @param reports the reports
     * @param withStatistics whether to include the statistics
     * @param nowMillis the current time in milliseconds
     * @return one message for each report
     */
    static List<RolloutSummary> encode(List<RolloutReport> reports, boolean withStatistics, long nowMillis) {
        return reports.stream()
                .map(report -> encode(report, withStatistics, nowMillis))
                .toList();
    }

    private static RolloutSummary encode(RolloutReport report, boolean withStatistics, long nowMillis) {
        Rollout rollout = report.rollout();
        RolloutSummary.Builder message = RolloutSummary.newBuilder()
                .setService(rollout.service())
                .setTarget(rollout.target())
                .setRevision(rollout.revision())
                .setDurationMillis(rollout.durationMillis())
                .setRemainingMillis(Math.max(0, rollout.deadlineMillis() - nowMillis))
                .setStage(report.stage().number())
                .setStoppedGateways(report.stoppedGateways());
        if (withStatistics) {
            report.statistics()
                    .countsByRoute()
                    .forEach((route, groups) -> message.addRoutes(
                            RouteStatistics.newBuilder().setRoute(route).setCounts(encodeCounts(groups))));
        }
        return message.build();
    }

    private static ByteString encodeCounts(long[][] groups) {
        ByteString.Output bytes = ByteString.newOutput();
        CodedOutputStream out = CodedOutputStream.newInstance(bytes);
        try {
            for (int group = 0; group < VersionStatistics.GROUPS; group++) {
                for (int i = 0; i < VersionStatistics.COUNTS; i++) {
                    if (groups[group][i] > 0) {
                        out.writeUInt64NoTag(INDEXES_PER_GROUP * (long) group + i);
                        out.writeUInt64NoTag(groups[group][i]);
                    }
                }
            }
            out.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("failed to write to a memory buffer", e);
        }
        return bytes.toByteString();
    }

    /**
     * Decodes reports. A report with impossible values is skipped.
     *
     * @param messages the messages, one for each report
     * @param nowMillis the current time in milliseconds
     * @return the reports
     */
    static List<RolloutReport> decode(List<RolloutSummary> messages, long nowMillis) {
        return messages.stream()
                .limit(MAX_REPORTS)
                .flatMap(message -> decode(message, nowMillis).stream())
                .toList();
    }

    private static Optional<RolloutReport> decode(RolloutSummary message, long nowMillis) {
        Optional<RolloutStage> stage = RolloutStage.of(message.getStage());
        long durationMillis = message.getDurationMillis();
        if (stage.isEmpty() || durationMillis <= 0 || durationMillis > MAX_DURATION_MILLIS) {
            return Optional.empty();
        }
        long remainingMillis = Math.max(0, Math.min(durationMillis, message.getRemainingMillis()));
        Rollout rollout = new Rollout(
                message.getService(),
                message.getTarget(),
                message.getRevision(),
                durationMillis,
                nowMillis + remainingMillis);
        VersionStatistics statistics = new VersionStatistics();
        try {
            for (RouteStatistics route : message.getRoutesList()) {
                decodeRoute(route, statistics);
            }
        } catch (IOException e) {
            return Optional.empty();
        }
        int stopped = Math.max(0, message.getStoppedGateways());
        return Optional.of(new RolloutReport(rollout, stage.get(), stopped, statistics));
    }

    private static void decodeRoute(RouteStatistics message, VersionStatistics statistics) throws IOException {
        long[][] groups = new long[VersionStatistics.GROUPS][VersionStatistics.COUNTS];
        CodedInputStream in = message.getCounts().newCodedInput();
        while (!in.isAtEnd()) {
            long index = in.readUInt64();
            long count = in.readUInt64();
            long group = index / INDEXES_PER_GROUP;
            long i = index % INDEXES_PER_GROUP;
            if (index < 0 || group >= VersionStatistics.GROUPS || i >= VersionStatistics.COUNTS || count < 0) {
                throw new InvalidProtocolBufferException("count " + count + " at index " + index);
            }
            groups[(int) group][(int) i] = count;
        }
        for (int group = 0; group < VersionStatistics.GROUPS; group++) {
            statistics.raise(message.getRoute(), group, groups[group]);
        }
    }
}
