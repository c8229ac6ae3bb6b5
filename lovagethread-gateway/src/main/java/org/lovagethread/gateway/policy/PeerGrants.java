package org.lovagethread.gateway.policy;

/** Grants of one gateway or cell to one customer, as known from its reports. */
final class PeerGrants {
    /** Time constant with which the rate follows the reports, in milliseconds. */
    private static final double RATE_TIME_CONSTANT_MILLIS = 8_000;

    /** Age of the last report from which the rate of a peer is disregarded, in milliseconds. */
    private static final long RATE_TIMEOUT_MILLIS = 2_000;

    private long reportedTotal;
    private long chargedTokens;
    private long reportedMillis;
    private double tokensPerMilli;

    /**
     * Creates the record of a peer whose earlier grants are not charged.
     *
     * @param total the total of the first report
     * @param nowMillis the current time in milliseconds
     */
    PeerGrants(long total, long nowMillis) {
        this.reportedTotal = total;
        this.reportedMillis = nowMillis;
    }

    /**
     * Records a reported total.
     *
     * @param total the number of tokens granted since the start of the peer
     * @param nowMillis the current time in milliseconds
     * @return the tokens granted since the last report; zero if the total has decreased because of refunds
     */
    long record(long total, long nowMillis) {
        long granted = Math.max(0, total - reportedTotal);
        long elapsed = Math.max(1, nowMillis - reportedMillis);
        double weight = 1.0 - Math.exp(-elapsed / RATE_TIME_CONSTANT_MILLIS);
        tokensPerMilli += weight * ((double) granted / elapsed - tokensPerMilli);
        chargedTokens += granted;
        reportedTotal = total;
        reportedMillis = nowMillis;
        return granted;
    }

    /** Returns the smoothed rate in tokens per millisecond; zero if the peer is silent. */
    double rate(long nowMillis) {
        return nowMillis - reportedMillis > RATE_TIMEOUT_MILLIS ? 0 : tokensPerMilli;
    }

    /** Returns the tokens charged since the first report. */
    long chargedTokens() {
        return chargedTokens;
    }

    /** Returns when the last report was received, in milliseconds. */
    long reportedMillis() {
        return reportedMillis;
    }
}
