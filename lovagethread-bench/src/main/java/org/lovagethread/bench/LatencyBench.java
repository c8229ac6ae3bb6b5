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

/** Compares reads through a node with reads straight from the stand-in, in turn and at a fixed rate. */
final class LatencyBench {
    private static final int MOST_MICROS = 60_000_000;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final int OK = 200;
    private static final int ROUNDS = 5;

    private LatencyBench() {}

    private record Result(ConcurrentHistogram micros, int failed) {}

    /** Takes the address of a node, the address of a plain stand-in, the rate and the seconds of a round. */
    static void run(String[] args) throws IOException, InterruptedException {
        URI node = URI.create("http://" + args[1] + "/v1/services/" + args[5] + "/calls/records/r1");
        URI direct = URI.create("http://" + args[2] + "/records/r1");
        int rate = Integer.parseInt(args[3]);
        int seconds = Integer.parseInt(args[4]);
        HttpClient http =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        load(http, node, rate, seconds, args[6]);
        load(http, direct, rate, seconds, args[6]);
        System.out.printf("%-6s %10s %10s %10s %10s %8s%n", "ROUND", "NODE P50", "P99", "DIRECT P50", "P99", "FAILED");
        List<Long> addedMedian = new ArrayList<>();
        List<Long> addedTail = new ArrayList<>();
        for (int round = 1; round <= ROUNDS; round++) {
            Result through = load(http, node, rate, seconds, args[6]);
            Result straight = load(http, direct, rate, seconds, args[6]);
            addedMedian.add(at(through, 50) - at(straight, 50));
            addedTail.add(at(through, 99) - at(straight, 99));
            System.out.printf(
                    "%-6d %10d %10d %10d %10d %8d%n",
                    round,
                    at(through, 50),
                    at(through, 99),
                    at(straight, 50),
                    at(straight, 99),
                    through.failed() + straight.failed());
        }
        System.out.printf(
                "added, median of rounds, in microseconds: p50 %d, p99 %d%n", median(addedMedian), median(addedTail));
    }

    private static long at(Result result, double percentile) {
        return result.micros().getValueAtPercentile(percentile);
    }

    private static long median(List<Long> values) {
        return values.stream().sorted().toList().get(values.size() / 2);
    }

    private static Result load(HttpClient http, URI uri, int rate, int seconds, String customer)
            throws InterruptedException {
        ConcurrentHistogram micros = new ConcurrentHistogram(MOST_MICROS, 3);
        AtomicInteger failed = new AtomicInteger();
        List<CompletableFuture<?>> calls = new ArrayList<>();
        long started = System.nanoTime();
        int count = rate * seconds;
        for (int i = 0; i < count; i++) {
            long due = started + i * NANOS_PER_SECOND / rate;
            while (System.nanoTime() < due) {
                LockSupport.parkNanos(due - System.nanoTime());
            }
            HttpRequest request = HttpRequest.newBuilder(uri)
                    .header("X-Request-Id", "bench-" + i)
                    .header("X-Customer", customer)
                    .build();
            long sent = System.nanoTime();
            calls.add(http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                    .handle((response, failure) -> {
                        if (failure != null || response.statusCode() != OK) {
                            failed.incrementAndGet();
                        }
                        micros.recordValue((System.nanoTime() - sent) / 1_000);
                        return null;
                    }));
        }
        calls.forEach(CompletableFuture::join);
        return new Result(micros, failed.get());
    }
}
