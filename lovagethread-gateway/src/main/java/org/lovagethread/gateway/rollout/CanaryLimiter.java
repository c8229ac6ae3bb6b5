package org.lovagethread.gateway.rollout;

/**
 * Limits the requests that this gateway sends to a version on trial to a share of its own requests to the service.
 *
 * <p>The counts are those of this process since it learned of the order, so the limit of all gateways together holds
 * without messages between them.
 */
final class CanaryLimiter {
    /** Part of the permitted exposure that is used; the rest covers shifting before late faults are noticed. */
    static final double USED_PART = 0.8;

    /** Part of the permitted slack that is used, since the number of gateways is an estimate. */
    private static final double USED_SLACK = 0.6;

    /** Part of the canary stage from which the number of requests until its end is extrapolated. */
    private static final double MIN_ELAPSED_PART = 0.1;

    private final double share;
    private final double slack;
    private long requests;
    private long targetRequests;

    /**
     * Creates a limiter.
     *
     * @param bounds the limits for all gateways together
     * @param gatewayCount the number of gateways that share the slack
     */
    CanaryLimiter(RolloutBounds bounds, int gatewayCount) {
        this.share = USED_PART * bounds.exposeShare();
        this.slack = Math.floor(USED_SLACK * bounds.exposeSlack() / Math.max(1, gatewayCount));
    }

    /**
     * Returns the share of the requests that may be sent to the target version by the end of the canary stage. At few
     * requests the slack is most of it, without which there would be too few responses to judge.
     *
     * @param elapsedPart the part of the canary stage that has passed
     */
    double share(double elapsedPart) {
        double expectedRequests = requests / Math.max(MIN_ELAPSED_PART, elapsedPart);
        return Math.min(1, share + slack / Math.max(1, expectedRequests));
    }

    /** Records a request to the service, to whichever version it is sent. */
    void recordRequest() {
        requests++;
    }

    /** Records that a request was sent to the target version. */
    void recordTargetRequest() {
        targetRequests++;
    }

    /** Returns whether the next request may be sent to the target version. */
    boolean permits() {
        return targetRequests + 1 <= share * (requests + 1) + slack;
    }

    /** Returns the number of recorded requests. */
    long requests() {
        return requests;
    }

    /** Returns the number of requests sent to the target version. */
    long targetRequests() {
        return targetRequests;
    }
}
