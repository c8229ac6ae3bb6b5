package org.lovagethread.gateway.config;

/** Kinds of routes, which determine whether a request that may have been executed can be retried. */
public enum RouteKind {
    /** Requests without side effects, which may be executed any number of times. */
    IDEMPOTENT {
        @Override
        public boolean isRetryable(boolean resumable) {
            return true;
        }
    },

    /** Requests with side effects, which are executed at most once. */
    AT_MOST_ONCE {
        @Override
        public boolean isRetryable(boolean resumable) {
            return false;
        }
    },

    /** Requests for a stream of numbered events, which may be executed again only if the stream can be resumed. */
    EVENT_STREAM {
        @Override
        public boolean isRetryable(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Returns whether a request that may have been executed can be retried.
     *
     * @param resumable whether streams of the route can be resumed
     * @return true if a second execution is allowed
     */
    public abstract boolean isRetryable(boolean resumable);
}
