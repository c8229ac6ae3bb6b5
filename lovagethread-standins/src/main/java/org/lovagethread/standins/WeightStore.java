package org.lovagethread.standins;

import java.util.Map;

/** Stands in for the weight store: each transfer waits for its turn at a fixed rate. */
public final class WeightStore {
    private final long bytesPerSecond;
    private long busyUntilMillis;

    /**
     * Creates the store.
     *
     * @param bytesPerSecond the rate shared by all transfers
     */
    public WeightStore(long bytesPerSecond) {
        this.bytesPerSecond = bytesPerSecond;
    }

    /**
     * Handles one request.
     *
     * @param exchange the request; {@code bytes} is the size of the transfer
     */
    public void handle(Exchange exchange) {
        long now = System.currentTimeMillis();
        long takes = exchange.longQuery("bytes") * 1_000 / bytesPerSecond;
        busyUntilMillis = Math.max(now, busyUntilMillis) + takes;
        exchange.after(busyUntilMillis - now, () -> exchange.reply(200, Map.of("ok", true)));
    }
}
