package org.lovagethread.gateway.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries that all gateways together send to a service.
 *
 * <p>Each gateway may retry a share of its own requests and has an equal part of the fixed allowance. The total limit
 * therefore holds during any network partition between gateways.
 */
public final class RetryBudget {
    /** Number of slices into which the window is divided. */
    private static final int SLICES = 10;

    /** Share of the budget that is used; the rest covers retries that fall into two overlapping windows. */
    private static final double SAFETY_FACTOR = 0.85;

    private final double ratio;
    private final double allowance;
    private final long sliceMillis;
    private final Map<String, Window> windows = new HashMap<>();

    /**
     * Creates a budget.
     *
     * @param ratio the number of retries allowed per request
     * @param allowance the number of retries allowed per window in addition, over all gateways
     * @param windowMillis the length of the window in milliseconds
     */
    public RetryBudget(double ratio, double allowance, long windowMillis) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.sliceMillis = Math.max(1, windowMillis / SLICES);
    }

    private static final class Window {
        private final long[] requests = new long[SLICES + 1];
        private final long[] retries = new long[SLICES + 1];
        private long slice;

        private void advance(long now) {
            long steps = Math.min(now - slice, SLICES + 1L);
            for (long i = 1; i <= steps; i++) {
                int index = (int) Math.floorMod(slice + i, SLICES + 1L);
                requests[index] = 0;
                retries[index] = 0;
            }
            slice = Math.max(slice, now);
        }

        private static long sum(long[] counts) {
            long total = 0;
            for (long count : counts) {
                total += count;
            }
            return total;
        }
    }

    /**
     * Records a request to a service.
     *
     * @param service the name of the service
     * @param nowMillis the current time in milliseconds
     */
    public void recordRequest(String service, long nowMillis) {
        Window window = window(service, nowMillis);
        window.requests[(int) Math.floorMod(window.slice, SLICES + 1L)]++;
    }

    /**
     * Withdraws one retry if the budget permits it.
     *
     * @param service the name of the service
     * @param gateways the number of gateways that share the allowance; at least one
     * @param nowMillis the current time in milliseconds
     * @return true if the retry is allowed and has been counted
     */
    public boolean tryWithdraw(String service, int gateways, long nowMillis) {
        Window window = window(service, nowMillis);
        double maxRetries = SAFETY_FACTOR * (ratio * Window.sum(window.requests) + allowance / Math.max(1, gateways));
        if (Window.sum(window.retries) + 1 > maxRetries) {
            return false;
        }
        window.retries[(int) Math.floorMod(window.slice, SLICES + 1L)]++;
        return true;
    }

    private Window window(String service, long nowMillis) {
        Window window = windows.computeIfAbsent(service, name -> new Window());
        window.advance(nowMillis / sliceMillis);
        return window;
    }
}
