package org.lovagethread.gateway.policy;

import org.lovagethread.gateway.config.Route;

/** Inactivity timeouts after which a request is retried at another upstream. */
public enum InactivityTimeout {
    /** For a response that is not a stream. */
    COMPLETE_RESPONSE {
        @Override
        public long timeoutMillis(long predictedMillis, boolean upstreamActive) {
            return Math.max(400, 4 * predictedMillis);
        }
    },

    /** For a stream before its first event. */
    FIRST_EVENT {
        @Override
        public long timeoutMillis(long predictedMillis, boolean upstreamActive) {
            return upstreamActive ? 4 * predictedMillis + 2_500 : 2 * predictedMillis + 500;
        }
    },

    /** For a stream after its first event. */
    NEXT_EVENT {
        @Override
        public long timeoutMillis(long predictedMillis, boolean upstreamActive) {
            return STREAM_SILENCE_MILLIS;
        }
    };

    /**
     * Maximum pause of a stream, in milliseconds. A healthy upstream may pause all its streams for about a second, and
     * callers abandon a stream after two.
     */
    private static final long STREAM_SILENCE_MILLIS = 1_500;

    /** Time for which an upstream receives no new requests after a timeout or connection failure, in milliseconds. */
    public static final long AVOIDANCE_MILLIS = 1_500;

    /**
     * Returns the timeout for the current phase of a request.
     *
     * @param route the route of the request
     * @param firstEventReceived whether the first event has been received
     * @return the timeout
     */
    public static InactivityTimeout of(Route route, boolean firstEventReceived) {
        if (!route.isStreaming()) {
            return COMPLETE_RESPONSE;
        }
        return firstEventReceived ? NEXT_EVENT : FIRST_EVENT;
    }

    /**
     * Returns the maximum time without bytes from the upstream.
     *
     * @param predictedMillis the predicted time to the first event or response, in milliseconds
     * @param upstreamActive whether the upstream has since sent bytes for other requests
     * @return the timeout in milliseconds
     */
    public abstract long timeoutMillis(long predictedMillis, boolean upstreamActive);
}
