package org.lovagethread.standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Stands in for the instance list: shows what the Cloud API showed some time ago. */
public final class InstanceList {
    private static final long POLL_MILLIS = 100;

    private final Deque<Snapshot> snapshots = new ArrayDeque<>();
    private final String cloudApi;
    private long lagMillis;

    private record Snapshot(long takenAtMillis, String body) {}

    /**
     * Creates the list.
     *
     * @param cloudApi the base address of the Cloud API stand-in
     * @param lagMillis the lag in milliseconds
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
            case "/instances" -> exchange.reply(200, current().getBytes(StandardCharsets.UTF_8), Map.of());
            case "/control" -> {
                lagMillis = exchange.json().path("lagMillis").asLong(lagMillis);
                exchange.reply(200, Map.of("ok", true));
            }
            default -> exchange.reply(404, Map.of("error", "unknown path"));
        }
    }

    /**
     * Reads the Cloud API again and again.
     *
     * @param server the server whose thread holds the state
     */
    public void poll(StandInServer server) {
        server.group()
                .scheduleWithFixedDelay(
                        () -> HttpCalls.get(cloudApi + "/instances")
                                .thenAccept(response -> server.group().execute(() -> add(response.body()))),
                        0,
                        POLL_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void add(String body) {
        snapshots.addLast(new Snapshot(System.currentTimeMillis(), body));
    }

    private String current() {
        long horizon = System.currentTimeMillis() - lagMillis;
        String found = snapshots.isEmpty() ? "[]" : snapshots.peekFirst().body();
        while (!snapshots.isEmpty() && snapshots.peekFirst().takenAtMillis() <= horizon) {
            found = snapshots.pollFirst().body();
        }
        snapshots.addFirst(new Snapshot(horizon, found));
        return found;
    }
}
