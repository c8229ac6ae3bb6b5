package org.lovagethread.core.limit;

/**
 * Limits the number of retries to a fraction of the number of calls.
 *
 * <p>Each call adds {@link #EARNED_PER_CALL} to the balance, up to {@link #MOST_SAVED}; each retry withdraws 1.
 */
public final class RetryBudget {
    /** The amount that each call adds to the balance: the permitted ratio of retries to calls. */
    public static final double EARNED_PER_CALL = 0.1;

    /** The maximum balance, and thus the maximum number of consecutive retries without a new call. */
    public static final double MOST_SAVED = 20.0;

    private double saved = MOST_SAVED;

    /** Adds the amount for one call to the balance. */
    public void callArrived() {
        saved = Math.min(MOST_SAVED, saved + EARNED_PER_CALL);
    }

    /**
     * Withdraws one retry from the balance if it is sufficient.
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
