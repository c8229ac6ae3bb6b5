package org.lovagethread.standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Simulates the instance list: returns the instances of the Cloud API as they were a configurable time ago. */
public final class InstanceList {
    private static final long POLL_MILLIS = 100;

    private final Deque<Snapshot> snapshots = new ArrayDeque<>();
    private final String cloudApi;
    private long lagMillis;

    private record Snapshot(long takenAtMillis, String instances) {}

    /**
     * Creates an instance list.
     *
     * @param cloudApi the base address of the Cloud API stand-in
     * @param lagMillis how far the list lags behind the Cloud API, in milliseconds
     */
    public InstanceList(String cloudApi, long lagMillis) {
        this.cloudApi = cloudApi;
        this.lagMillis = lagMillis;
    }

    /**
     * Handles one request.
     *
     * @param exchange the request
     */
    public void handle(Exchange exchange) {
        switch (exchange.path()) {
            case "/instances" -> exchange.reply(200, delayedInstances().getBytes(StandardCharsets.UTF_8), Map.of());
            case "/control" -> {
                lagMillis = exchange.jsonBody().path("lagMillis").asLong(lagMillis);
                exchange.reply(200, Map.of("ok", true));
            }
            default -> exchange.reply(404, Map.of("error", "unknown path"));
        }
    }

    /**
     * Starts to poll the Cloud API periodically.
     *
     * @param server the server on whose event loop the polling runs; all state is confined to that thread
     */
    public void startPolling(StandInServer server) {
        server.eventLoopGroup()
                .scheduleWithFixedDelay(
                        () -> StandInHttpClient.get(cloudApi + "/instances")
                                .thenAccept(response ->
                                        server.eventLoopGroup().execute(() -> addSnapshot(response.body()))),
                        0,
                        POLL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void addSnapshot(String instances) {
        snapshots.addLast(new Snapshot(System.currentTimeMillis(), instances));
    }

    private String delayedInstances() {
        long cutoffMillis = System.currentTimeMillis() - lagMillis;
        String instances = snapshots.isEmpty() ? "[]" : snapshots.peekFirst().instances();
        while (!snapshots.isEmpty() && snapshots.peekFirst().takenAtMillis() <= cutoffMillis) {
            instances = snapshots.pollFirst().instances();
        }
        snapshots.addFirst(new Snapshot(cutoffMillis, instances));
        return instances;
    }
}
