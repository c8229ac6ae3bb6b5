package org.lovagethread.gateway.http;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import org.lovagethread.gateway.upstream.SpeedSums;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamSpeed;

/**
 * Encodes and decodes the speeds of upstreams in messages between gateways, as message {@code UpstreamSpeeds} of
 * {@code upstream_speeds.proto}.
 *
 * <p>A report is bounded; if there are more upstreams, they take turns. The message is written as an unknown field until
 * the classes of the wire module are regenerated, which has the same encoding.
 */
final class UpstreamSpeedCodec {
    /** Number of the field in {@code GatewayState}. */
    static final int GATEWAY_FIELD = 25;

    /** Number of the field in {@code CellState}. */
    static final int CELL_FIELD = 20;

    /** Maximum number of upstreams in one report, about 800 bytes. */
    static final int MAX_UPSTREAMS = 64;

    private static final int PROCESSES = 1;
    private static final int SUMS = 2;
    private static final int SUMS_PER_UPSTREAM = 3;

    /** Resolution of the exchanged sums. */
    private static final double STEPS = 64;

    private int next;

    /**
     * Encodes the sums of the upstreams whose turn it is.
     *
     * @param field the number of the field in the enclosing message
     * @param upstreams all upstreams
     * @param selector selects the sums of an upstream
     * @return the field; empty if no upstream has samples
     */
    UnknownFieldSet encode(int field, Collection<Upstream> upstreams, Function<UpstreamSpeed, SpeedSums> selector) {
        List<Upstream> sampled = new ArrayList<>();
        for (Upstream upstream : upstreams) {
            if (selector.apply(upstream.speed()).samples() > 0) {
                sampled.add(upstream);
            }
        }
        UnknownFieldSet.Field.Builder processes = UnknownFieldSet.Field.newBuilder();
        UnknownFieldSet.Field.Builder sums = UnknownFieldSet.Field.newBuilder();
        int count = Math.min(MAX_UPSTREAMS, sampled.size());
        for (int i = 0; i < count; i++) {
            Upstream upstream = sampled.get((next + i) % sampled.size());
            SpeedSums values = selector.apply(upstream.speed());
            processes.addFixed32(processHash(upstream));
            sums.addVarint(encodeSum(values.samples()));
            sums.addVarint(encodeSum(values.logSum()));
            sums.addVarint(encodeSum(values.deviationSum()));
        }
        if (count == 0) {
            return UnknownFieldSet.getDefaultInstance();
        }
        next = (next + count) % sampled.size();
        UnknownFieldSet message = UnknownFieldSet.newBuilder()
                .addField(PROCESSES, processes.build())
                .addField(SUMS, sums.build())
                .build();
        return UnknownFieldSet.newBuilder()
                .addField(
                        field,
                        UnknownFieldSet.Field.newBuilder()
                                .addLengthDelimited(message.toByteString())
                                .build())
                .build();
    }

    /**
     * Replaces the sums reported by a peer. Unreadable reports, those of unknown processes and impossible sums are
     * ignored.
     *
     * @param fields the unknown fields of the enclosing message
     * @param field the number of the field in the enclosing message
     * @param peer the name and incarnation of the peer
     * @param upstreams the upstreams to update
     * @param nowMillis the current time in milliseconds
     */
    static void applyPeer(
            UnknownFieldSet fields, int field, String peer, Collection<Upstream> upstreams, long nowMillis) {
        Map<Integer, SpeedSums> sumsByProcess = new HashMap<>();
        fields.getField(field).getLengthDelimitedList().forEach(bytes -> {
            try {
                decode(UnknownFieldSet.parseFrom(bytes), sumsByProcess);
            } catch (InvalidProtocolBufferException e) {
                sumsByProcess.clear();
            }
        });
        if (sumsByProcess.isEmpty()) {
            return;
        }
        for (Upstream upstream : upstreams) {
            SpeedSums sums = sumsByProcess.get(processHash(upstream));
            if (sums != null) {
                upstream.speed().updatePeer(peer, sums, nowMillis);
            }
        }
    }

    private static void decode(UnknownFieldSet message, Map<Integer, SpeedSums> sumsByProcess) {
        List<Integer> processes = message.getField(PROCESSES).getFixed32List();
        List<Long> sums = message.getField(SUMS).getVarintList();
        if (processes.size() > MAX_UPSTREAMS || sums.size() != SUMS_PER_UPSTREAM * processes.size()) {
            return;
        }
        for (int i = 0; i < processes.size(); i++) {
            int process = processes.get(i);
            int first = SUMS_PER_UPSTREAM * i;
            SpeedSums.of(decodeSum(sums.get(first)), decodeSum(sums.get(first + 1)), decodeSum(sums.get(first + 2)))
                    .ifPresent(decoded -> sumsByProcess.put(process, decoded));
        }
    }

    private static long encodeSum(double sum) {
        return Integer.toUnsignedLong(CodedOutputStream.encodeZigZag32((int) Math.round(sum * STEPS)));
    }

    private static double decodeSum(long encoded) {
        return CodedInputStream.decodeZigZag32((int) encoded) / STEPS;
    }

    /** Returns a hash code that changes when the process of the upstream restarts. */
    private static int processHash(Upstream upstream) {
        return Objects.hash(upstream.entry().id(), upstream.entry().startedAtMillis());
    }
}
