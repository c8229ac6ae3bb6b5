package org.lovagethread.bench;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Compares the latency of reads through a node with that of direct reads from a stand-in. The two are measured
 * alternately, at a fixed request rate.
 */
final class LatencyBench {
    private static final int MAX_LATENCY_MICROS = 60_000_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int HTTP_OK = 200;
    private static final int ROUNDS = 5;

    private LatencyBench() {}

    private record Result(ConcurrentHistogram latencyMicros, int failedRequests) {}

    /** Runs the benchmark; the arguments are described at {@link BenchMain#main(String[])}. */
    static void run(String[] args) throws IOException, InterruptedException {
        URI nodeUri = URI.create("http://" + args[1] + "/v1/services/" + args[5] + "/calls/records/r1");
        URI directUri = URI.create("http://" + args[2] + "/records/r1");
        int rate = Integer.parseInt(args[3]);
        int seconds = Integer.parseInt(args[4]);
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        measure(client, nodeUri, rate, seconds, args[6]);
        measure(client, directUri, rate, seconds, args[6]);
        System.out.printf("%-6s %10s %10s %10s %10s %8s%n", "ROUND", "NODE P50", "P99", "DIRECT P50", "P99", "FAILED");
        List<Long> addedP50Micros = new ArrayList<>();
        List<Long> addedP99Micros = new ArrayList<>();
        for (int round = 1; round <= ROUNDS; round++) {
            Result nodeResult = measure(client, nodeUri, rate, seconds, args[6]);
            Result directResult = measure(client, directUri, rate, seconds, args[6]);
            addedP50Micros.add(percentile(nodeResult, 50) - percentile(directResult, 50));
            addedP99Micros.add(percentile(nodeResult, 99) - percentile(directResult, 99));
            System.out.printf(
                    "%-6d %10d %10d %10d %10d %8d%n",
                    round,
                    percentile(nodeResult, 50),
                    percentile(nodeResult, 99),
                    percentile(directResult, 50),
                    percentile(directResult, 99),
                    nodeResult.failedRequests() + directResult.failedRequests());
        }
        System.out.printf(
                "added, median of rounds, in microseconds: p50 %d, p99 %d%n",
                median(addedP50Micros), median(addedP99Micros));
    }

    private static long percentile(Result result, double percentile) {
        return result.latencyMicros().getValueAtPercentile(percentile);
    }

    private static long median(List<Long> values) {
        return values.stream().sorted().toList().get(values.size() / 2);
    }

    private static Result measure(HttpClient client, URI uri, int rate, int seconds, String customer)
            throws InterruptedException {
        ConcurrentHistogram latencyMicros = new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);
        AtomicInteger failedRequests = new AtomicInteger();
        List<CompletableFuture<?>> responses = new ArrayList<>();
        long startedNanos = System.nanoTime();
        int count = rate * seconds;
        for (int i = 0; i < count; i++) {
            long sendAtNanos = startedNanos + i * NANOS_PER_SECOND / rate;
            while (System.nanoTime() < sendAtNanos) {
                LockSupport.parkNanos(sendAtNanos - System.nanoTime());
            }
            HttpRequest request = HttpRequest.newBuilder(uri)
                    .header("X-Request-Id", "bench-" + i)
                    .header("X-Customer", customer)
                    .build();
            long sentNanos = System.nanoTime();
            responses.add(client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                    .handle((response, failure) -> {
                        if (failure != null || response.statusCode() != HTTP_OK) {
                            failedRequests.incrementAndGet();
                        }
                        latencyMicros.recordValue((System.nanoTime() - sentNanos) / 1_000);
                        return null;
                    }));
        }
        responses.forEach(CompletableFuture::join);
        return new Result(latencyMicros, failedRequests.get());
    }
}
