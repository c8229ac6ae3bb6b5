package org.lovagethread.core.limit;

/**
 * Limits retries to a share of the calls.
 *
 * <p>Each call earns {@link #EARNED_PER_CALL} of a retry, up to {@link #MOST_SAVED}; each retry spends a whole one.
 */
public final class RetryBudget {
    /** The share of a retry that each call earns. */
    public static final double EARNED_PER_CALL = 0.1;

    /** The most retries that can be saved up. */
    public static final double MOST_SAVED = 20.0;

    private double saved = MOST_SAVED;

    /** Earns the share of one call. */
    public void callArrived() {
        saved = Math.min(MOST_SAVED, saved + EARNED_PER_CALL);
    }

    /**
     * Spends one retry if the budget holds one.
     *
     * @return true if the retry is permitted
     */
    public boolean trySpend() {
        if (saved < 1.0) {
            return false;
        }
        saved -= 1.0;
        return true;
    }
}
