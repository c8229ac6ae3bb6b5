package org.lovagethread.core.limit;

/**
 * Limits the number of retries to a fraction of the number of calls.
 *
 * <p>Each call adds {@link #CREDIT_PER_CALL} to the balance, up to {@link #MAX_BALANCE}; each retry withdraws 1.
 */
public final class RetryBudget {
    /** The amount that each call adds to the balance: the permitted ratio of retries to calls. */
    public static final double CREDIT_PER_CALL = 0.1;

    /** The maximum balance, and thus the maximum number of consecutive retries without a new call. */
    public static final double MAX_BALANCE = 20.0;

    private double balance = MAX_BALANCE;

    /** Adds the amount for one call to the balance. */
    public void recordCall() {
        balance = Math.min(MAX_BALANCE, balance + CREDIT_PER_CALL);
    }

    /**
     * Withdraws one retry from the balance if it is sufficient.
     *
     * @return true if the retry is permitted
     */
    public boolean tryWithdraw() {
        if (balance < 1.0) {
            return false;
        }
        balance -= 1.0;
        return true;
    }
}
