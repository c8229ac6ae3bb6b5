package org.lovagethread.gateway.policy;

import org.lovagethread.gateway.config.Route;

/** Tells how long an upstream may be silent before its request is sent elsewhere. */
public enum SilencePolicy {
    /** An answer that comes at once or not at all. */
    WHOLE_ANSWER {
        @Override
        public long limitMillis(long predictedMillis, boolean upstreamHeard) {
            return Math.max(400, 4 * predictedMillis);
        }
    },

    /** A stream before its first event. */
    FIRST_EVENT {
        @Override
        public long limitMillis(long predictedMillis, boolean upstreamHeard) {
            return upstreamHeard ? 4 * predictedMillis + 2_500 : 2 * predictedMillis + 500;
        }
    },

    /** A stream between two events. */
    NEXT_EVENT {
        @Override
        public long limitMillis(long predictedMillis, boolean upstreamHeard) {
            return upstreamHeard ? 1_500 : 600;
        }
    };

    /** Time for which an upstream that fell silent gets no new requests, in milliseconds. */
    public static final long AVOID_MILLIS = 1_500;

    /**
     * Returns the policy for a request.
     *
     * @param route the route of the request
     * @param begun whether the first event has come
     * @return the policy
     */
    public static SilencePolicy of(Route route, boolean begun) {
        if (!route.streaming()) {
            return WHOLE_ANSWER;
        }
        return begun ? NEXT_EVENT : FIRST_EVENT;
    }

    /**
     * Returns the longest silence that is waited for.
     *
     * @param predictedMillis the predicted time to the first event or answer, in milliseconds
     * @param upstreamHeard whether the upstream has sent bytes for other requests since
     * @return the limit in milliseconds
     */
    public abstract long limitMillis(long predictedMillis, boolean upstreamHeard);
}
