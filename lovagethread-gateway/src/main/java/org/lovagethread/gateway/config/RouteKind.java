package org.lovagethread.gateway.config;

/** Kinds of routes, which differ in what may be sent to an upstream again. */
public enum RouteKind {
    /** Requests without side effects; they may run any number of times. */
    IDEMPOTENT {
        @Override
        public boolean repeatable(boolean resumable) {
            return true;
        }
    },

    /** Requests with side effects; they run at most once. */
    AT_MOST_ONCE {
        @Override
        public boolean repeatable(boolean resumable) {
            return false;
        }
    },

    /** Requests answered by a stream of numbered events; they may run again only where a stream can be resumed. */
    EVENT_STREAM {
        @Override
        public boolean repeatable(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Tells whether a request that may have run can be sent again.
     *
     * @param resumable whether streams of the route can be resumed
     * @return true if a second run is allowed
     */
    public abstract boolean repeatable(boolean resumable);
}
