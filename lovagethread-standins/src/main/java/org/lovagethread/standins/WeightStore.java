package org.lovagethread.standins;

import java.util.Map;

/** Simulates the weight store: transfers are queued and share a fixed total rate. */
public final class WeightStore {
    private final long bytesPerSecond;
    private long busyUntilMillis;

    /**
     * Creates a store.
     *
     * @param bytesPerSecond the total rate of all transfers in bytes per second
     */
    public WeightStore(long bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
    }

    /**
     * Handles one request.
     *
     * @param exchange the request; its query parameter {@code bytes} is the size of the transfer
     */
    public void handle(Exchange exchange) {
        long nowMillis = System.currentTimeMillis();
        long transferMillis = exchange.longQueryParameter("bytes") * 1_000 / bytesPerSecond;
        busyUntilMillis = Math.max(nowMillis, busyUntilMillis) + transferMillis;
        exchange.schedule(busyUntilMillis - nowMillis, () -> exchange.reply(200, Map.of("ok", true)));
    }
}
