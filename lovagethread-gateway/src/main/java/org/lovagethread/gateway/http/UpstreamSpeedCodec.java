package org.lovagethread.gateway.http;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import org.lovagethread.gateway.upstream.SpeedSums;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamSpeed;
import org.lovagethread.wire.generated.UpstreamSpeeds;

/**
 * Encodes and decodes the speeds of upstreams in messages between gateways.
 *
 * <p>A report is bounded; if there are more upstreams, they take turns.
 */
final class UpstreamSpeedCodec {
    /** Maximum number of upstreams in one report, about 800 bytes. */
    static final int MAX_UPSTREAMS = 64;

    /** Maximum number of samples in exchanged sums. {@link SpeedSums#of} rejects sums with more. */
    private static final double MAX_SAMPLES = 4_096;

    private static final int SUMS_PER_UPSTREAM = 3;

    /** Resolution of the exchanged sums. */
    private static final double STEPS = 64;

    private int next;

    /**
     * Encodes the sums of the upstreams whose turn it is.
     *
     * @param upstreams all upstreams
     * @param selector selects the sums of an upstream
     * @return the message; empty if no upstream has samples
     */
    Optional<UpstreamSpeeds> encode(Collection<Upstream> upstreams, Function<UpstreamSpeed, SpeedSums> selector) {
        List<Upstream> sampled = new ArrayList<>();
        for (Upstream upstream : upstreams) {
            if (selector.apply(upstream.speed()).samples() > 0) {
                sampled.add(upstream);
            }
        }
        if (sampled.isEmpty()) {
            return Optional.empty();
        }
        UpstreamSpeeds.Builder message = UpstreamSpeeds.newBuilder();
        int count = Math.min(MAX_UPSTREAMS, sampled.size());
        for (int i = 0; i < count; i++) {
            Upstream upstream = sampled.get((next + i) % sampled.size());
            SpeedSums sums = selector.apply(upstream.speed());
            // The sums of many gateways together can have more samples than a receiver accepts.
            double scale = STEPS * Math.min(1, MAX_SAMPLES / sums.samples());
            message.addProcesses(processHash(upstream))
                    .addSums((int) Math.round(sums.samples() * scale))
                    .addSums((int) Math.round(sums.logSum() * scale))
                    .addSums((int) Math.round(sums.deviationSum() * scale));
        }
        next = (next + count) % sampled.size();
        return Optional.of(message.build());
    }

    /**
     * Replaces the sums reported by a peer. Reports with missing sums, those of unknown processes and impossible sums are
     * ignored.
     *
     * @param message the message of the peer
     * @param peer the name and incarnation of the peer
     * @param upstreams the upstreams to update
     * @param nowMillis the current time in milliseconds
     */
    static void applyPeer(UpstreamSpeeds message, String peer, Collection<Upstream> upstreams, long nowMillis) {
        Map<Integer, SpeedSums> sumsByProcess = decode(message);
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

    private static Map<Integer, SpeedSums> decode(UpstreamSpeeds message) {
        int count = message.getProcessesCount();
        if (count > MAX_UPSTREAMS || message.getSumsCount() != SUMS_PER_UPSTREAM * count) {
            return Map.of();
        }
        Map<Integer, SpeedSums> sumsByProcess = new HashMap<>();
        for (int i = 0; i < count; i++) {
            int process = message.getProcesses(i);
            int first = SUMS_PER_UPSTREAM * i;
            SpeedSums.of(
                            message.getSums(first) / STEPS,
                            message.getSums(first + 1) / STEPS,
                            message.getSums(first + 2) / STEPS)
                    .ifPresent(sums -> sumsByProcess.put(process, sums));
        }
        return sumsByProcess;
    }

    /** Returns a hash code that changes when the process of the upstream restarts. */
    private static int processHash(Upstream upstream) {
        return Objects.hash(upstream.entry().id(), upstream.entry().startedAtMillis());
    }
}
