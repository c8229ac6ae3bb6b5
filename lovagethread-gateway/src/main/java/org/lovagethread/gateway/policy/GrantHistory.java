package org.lovagethread.gateway.policy;

/** Records the tokens that this gateway granted to a customer within the last seconds. */
final class GrantHistory {
    /** Period for which grants are recorded, in milliseconds. */
    static final long PERIOD_MILLIS = 2_000;

    /** Part of the horizon in which hardly any peer receives a report, as it is relayed several times. */
    private static final double FIRST_KNOWN_SHARE = 0.2;

    private static final int SLOTS = 64;
    private static final double SLOT_MILLIS = (double) PERIOD_MILLIS / SLOTS;

    private final long[] slotTokens = new long[SLOTS];
    private long currentSlot;

    /**
     * Records a grant.
     *
     * @param tokens the number of tokens
     * @param nowMillis the current time in milliseconds
     */
    void add(long tokens, long nowMillis) {
        advance(nowMillis);
        slotTokens[indexOf(currentSlot)] += tokens;
    }

    /**
     * Removes tokens that were refunded, from the latest grants first. Tokens granted before the period are ignored.
     *
     * @param tokens the number of tokens
     */
    void remove(long tokens) {
        long remaining = tokens;
        for (long slot = currentSlot; slot > currentSlot - SLOTS && remaining > 0; slot--) {
            long removed = Math.min(remaining, slotTokens[indexOf(slot)]);
            slotTokens[indexOf(slot)] -= removed;
            remaining -= removed;
        }
    }

    /**
     * Returns the tokens granted, weighted by the share of peers that have probably not received a report of them. It
     * decreases from one to zero between {@link #FIRST_KNOWN_SHARE} and one minus this share of the horizon.
     *
     * @param horizonMillis the horizon in milliseconds, at most {@link #PERIOD_MILLIS}
     * @param nowMillis the current time in milliseconds
     * @return the weighted sum of tokens
     */
    double weightedSum(double horizonMillis, long nowMillis) {
        advance(nowMillis);
        double sum = 0;
        for (int age = 0; age < SLOTS && age * SLOT_MILLIS < horizonMillis; age++) {
            double unknownShare =
                    (1.0 - FIRST_KNOWN_SHARE - age * SLOT_MILLIS / horizonMillis) / (1.0 - 2 * FIRST_KNOWN_SHARE);
            sum += slotTokens[indexOf(currentSlot - age)] * Math.max(0.0, Math.min(1.0, unknownShare));
        }
        return sum;
    }

    /**
     * Returns the tokens granted within the horizon.
     *
     * @param horizonMillis the horizon in milliseconds, at most {@link #PERIOD_MILLIS}
     * @param nowMillis the current time in milliseconds
     * @return the sum of tokens
     */
    long sum(double horizonMillis, long nowMillis) {
        advance(nowMillis);
        long sum = 0;
        for (int age = 0; age < SLOTS && age * SLOT_MILLIS < horizonMillis; age++) {
            sum += slotTokens[indexOf(currentSlot - age)];
        }
        return sum;
    }

    private void advance(long nowMillis) {
        long slot = (long) (nowMillis / SLOT_MILLIS);
        for (long next = Math.max(currentSlot + 1, slot - SLOTS + 1); next <= slot; next++) {
            slotTokens[indexOf(next)] = 0;
        }
        currentSlot = Math.max(currentSlot, slot);
    }

    private static int indexOf(long slot) {
        return (int) Math.floorMod(slot, SLOTS);
    }
}
