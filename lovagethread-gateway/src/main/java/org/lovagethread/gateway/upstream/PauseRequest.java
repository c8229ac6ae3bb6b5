package org.lovagethread.gateway.upstream;

import java.util.Locale;

/**
 * The pause that an upstream requests in a response by which it rejects a request.
 *
 * @param form the form of the requested value
 * @param millis the requested duration in milliseconds, {@link Long#MAX_VALUE} if infinite; zero if it is unknown
 */
public record PauseRequest(Form form, long millis) {
    /** Maximum duration of a pause, so that no single response makes an upstream unavailable for long. */
    public static final long MAX_MILLIS = 30_000;

    /** Duration of a pause whose requested duration is unknown, in milliseconds. */
    public static final long UNKNOWN_DURATION_MILLIS = 1_000;

    /** Forms of the requested value. */
    public enum Form {
        /** A duration within the maximum. */
        REGULAR,
        /** A duration beyond the maximum, which is limited to it. */
        EXCESSIVE,
        /** A negative duration, which counts as zero. */
        NEGATIVE,
        /** Several values, of which the longest duration counts. */
        REPEATED,
        /** A date or another value that is not a duration. The clocks of upstreams are not compared with ours. */
        UNREADABLE;

        /**
         * Returns whether a request of this form may shorten a pause.
         *
         * @return false if the duration that the upstream wants is not certain
         */
        boolean mayShorten() {
            return this == REGULAR || this == EXCESSIVE;
        }

        /**
         * Returns the name for logs and metrics.
         *
         * @return the name in lower case
         */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Creates the request for a duration in seconds.
     *
     * @param seconds the requested duration in seconds; may be negative or infinite
     * @return the request
     */
    public static PauseRequest ofSeconds(double seconds) {
        if (Double.isNaN(seconds)) {
            return unreadable();
        }
        if (seconds < 0) {
            return new PauseRequest(Form.NEGATIVE, 0);
        }
        long millis = (long) Math.ceil(seconds * 1_000.0);
        return new PauseRequest(millis > MAX_MILLIS ? Form.EXCESSIVE : Form.REGULAR, millis);
    }

    /**
     * Creates the request for a value that is not a duration.
     *
     * @return the request
     */
    public static PauseRequest unreadable() {
        return new PauseRequest(Form.UNREADABLE, 0);
    }

    /**
     * Returns the duration for which the upstream is paused.
     *
     * @return the duration in milliseconds, from zero to {@link #MAX_MILLIS}
     */
    public long pauseMillis() {
        return form == Form.UNREADABLE ? UNKNOWN_DURATION_MILLIS : Math.min(MAX_MILLIS, millis);
    }

    /**
     * Returns the request that two values in one response make.
     *
     * @param other the request that the other value makes
     * @return a repeated request for the longer duration
     */
    public PauseRequest repeatedWith(PauseRequest other) {
        return new PauseRequest(Form.REPEATED, Math.max(pauseMillis(), other.pauseMillis()));
    }
}
