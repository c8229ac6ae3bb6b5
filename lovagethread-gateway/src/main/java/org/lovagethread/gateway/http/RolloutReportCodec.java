package org.lovagethread.gateway.http;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import org.lovagethread.gateway.rollout.Rollout;
import org.lovagethread.gateway.rollout.RolloutReport;
import org.lovagethread.gateway.rollout.RolloutStage;
import org.lovagethread.gateway.rollout.VersionStatistics;

/**
 * Encodes and decodes reports about rollouts in messages between gateways, in the format of {@code rollout.proto}.
 *
 * <p>The reports are fields that the generated classes do not know. A gateway of an older version passes them on.
 */
final class RolloutReportCodec {
    /** Field of the reports in the state of a gateway. */
    static final int GATEWAY_FIELD = 24;

    /** Field of the reports in the summary of a cell. */
    static final int CELL_FIELD = 19;

    private static final int SERVICE = 1;
    private static final int TARGET = 2;
    private static final int REVISION = 3;
    private static final int DURATION = 4;
    private static final int REMAINING = 5;
    private static final int STAGE = 6;
    private static final int STOPPED = 7;
    private static final int ROUTES = 8;

    private static final int ROUTE = 1;
    private static final int COUNTS = 2;

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
     * @param field the number of their field
     * @param withStatistics whether to include the statistics
     * @param nowMillis the current time in milliseconds
     * @return the fields of the message
     */
    static UnknownFieldSet encode(List<RolloutReport> reports, int field, boolean withStatistics, long nowMillis) {
        UnknownFieldSet.Field.Builder messages = UnknownFieldSet.Field.newBuilder();
        reports.forEach(report -> messages.addLengthDelimited(encode(report, withStatistics, nowMillis)));
        return reports.isEmpty()
                ? UnknownFieldSet.getDefaultInstance()
                : UnknownFieldSet.newBuilder().addField(field, messages.build()).build();
    }

    private static ByteString encode(RolloutReport report, boolean withStatistics, long nowMillis) {
        Rollout rollout = report.rollout();
        UnknownFieldSet.Builder message = UnknownFieldSet.newBuilder()
                .addField(SERVICE, text(rollout.service()))
                .addField(TARGET, text(rollout.target()))
                .addField(REVISION, number(rollout.revision()))
                .addField(DURATION, number(rollout.durationMillis()))
                .addField(REMAINING, number(Math.max(0, rollout.deadlineMillis() - nowMillis)))
                .addField(STAGE, number(report.stage().number()))
                .addField(STOPPED, number(report.stoppedGateways()));
        if (withStatistics) {
            UnknownFieldSet.Field.Builder routes = UnknownFieldSet.Field.newBuilder();
            report.statistics()
                    .countsByRoute()
                    .forEach((route, groups) -> routes.addLengthDelimited(UnknownFieldSet.newBuilder()
                            .addField(ROUTE, text(route))
                            .addField(COUNTS, bytes(encodeCounts(groups)))
                            .build()
                            .toByteString()));
            message.addField(ROUTES, routes.build());
        }
        return message.build().toByteString();
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
     * Decodes reports. A report that cannot be read is skipped.
     *
     * @param fields the fields of the message
     * @param field the number of the field of the reports
     * @param nowMillis the current time in milliseconds
     * @return the reports
     */
    static List<RolloutReport> decode(UnknownFieldSet fields, int field, long nowMillis) {
        return fields.getField(field).getLengthDelimitedList().stream()
                .limit(MAX_REPORTS)
                .flatMap(bytes -> decode(bytes, nowMillis).stream())
                .toList();
    }

    private static Optional<RolloutReport> decode(ByteString bytes, long nowMillis) {
        try {
            UnknownFieldSet message = UnknownFieldSet.parseFrom(bytes);
            Optional<RolloutStage> stage = RolloutStage.of((int) number(message, STAGE));
            long durationMillis = number(message, DURATION);
            if (stage.isEmpty() || durationMillis <= 0 || durationMillis > MAX_DURATION_MILLIS) {
                return Optional.empty();
            }
            long remainingMillis = Math.max(0, Math.min(durationMillis, number(message, REMAINING)));
            Rollout rollout = new Rollout(
                    text(message, SERVICE),
                    text(message, TARGET),
                    number(message, REVISION),
                    durationMillis,
                    nowMillis + remainingMillis);
            VersionStatistics statistics = new VersionStatistics();
            for (ByteString route : message.getField(ROUTES).getLengthDelimitedList()) {
                decodeRoute(UnknownFieldSet.parseFrom(route), statistics);
            }
            int stopped = (int) Math.max(0, Math.min(Integer.MAX_VALUE, number(message, STOPPED)));
            return Optional.of(new RolloutReport(rollout, stage.get(), stopped, statistics));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static void decodeRoute(UnknownFieldSet message, VersionStatistics statistics) throws IOException {
        long[][] groups = new long[VersionStatistics.GROUPS][VersionStatistics.COUNTS];
        for (ByteString bytes : message.getField(COUNTS).getLengthDelimitedList()) {
            CodedInputStream in = bytes.newCodedInput();
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
        }
        for (int group = 0; group < VersionStatistics.GROUPS; group++) {
            statistics.raise(text(message, ROUTE), group, groups[group]);
        }
    }

    private static UnknownFieldSet.Field text(String value) {
        return bytes(ByteString.copyFromUtf8(value));
    }

    private static UnknownFieldSet.Field bytes(ByteString value) {
        return UnknownFieldSet.Field.newBuilder().addLengthDelimited(value).build();
    }

    private static UnknownFieldSet.Field number(long value) {
        return UnknownFieldSet.Field.newBuilder().addVarint(value).build();
    }

    private static String text(UnknownFieldSet message, int field) {
        return message.getField(field).getLengthDelimitedList().stream()
                .findFirst()
                .map(ByteString::toStringUtf8)
                .orElse("");
    }

    private static long number(UnknownFieldSet message, int field) {
        return message.getField(field).getVarintList().stream().findFirst().orElse(0L);
    }
}
