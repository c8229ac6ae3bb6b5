package org.lovagethread.gateway.stream;

import java.util.Locale;
import java.util.Optional;

/**
 * What a gateway knows about the software version at which the stream of a request began.
 *
 * @param source where the version is known from, or why it does not matter
 * @param version the version; empty unless the stream must go on at it
 * @param reason why the version is unknown; an empty string if it is known or does not matter
 */
public record StreamOrigin(Source source, Optional<String> version, String reason) {
    /** The request begins a stream, or is none. */
    public static final StreamOrigin BEGINNING = new StreamOrigin(Source.BEGINNING, Optional.empty(), "");

    /** Sources of the knowledge. */
    public enum Source {
        /** The stream begins with this request. */
        BEGINNING,
        /** No other version could have begun the stream. */
        ONE_VERSION,
        /** The stream began at this gateway, or was taken up here before. */
        MEMORY,
        /** The stream began at a peer, which has told so. */
        PEER,
        /** A gateway has stored where the stream began. */
        STORE,
        /** The version is unknown, and the stream cannot go on. */
        NONE;

        /**
         * Returns the name for logs.
         *
         * @return the name
         */
        public String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * Returns the origin of a stream whose version is known.
     *
     * @param source where the version is known from
     * @param version the version
     * @return the origin
     */
    public static StreamOrigin known(Source source, String version) {
        return new StreamOrigin(source, Optional.of(version), "");
    }

    /** Returns the origin of a stream whose service has had a single version for as long as a stream can last. */
    static StreamOrigin oneVersion(String version) {
        return known(Source.ONE_VERSION, version);
    }

    /** Returns the origin of a stream whose version is unknown. */
    static StreamOrigin unknown(String reason) {
        return new StreamOrigin(Source.NONE, Optional.empty(), reason);
    }

    /**
     * Returns whether the stream may go on, or begin.
     *
     * @return false if the version is unknown
     */
    public boolean isResolved() {
        return source != Source.NONE;
    }
}
