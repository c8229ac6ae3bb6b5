package org.lovagethread.gateway.stream;

import java.util.Optional;

/**
 * A software version of a service.
 *
 * @param service the name of the service
 * @param version the version
 */
record ServiceVersion(String service, String version) {
    private static final String SEPARATOR = "\n";

    /** Returns the form in which gateways tell it each other. */
    String text() {
        return service + SEPARATOR + version;
    }

    /** Parses what {@link #text} returns; empty if it cannot be read. */
    static Optional<ServiceVersion> parse(String text) {
        String[] parts = text.split(SEPARATOR, 2);
        return parts.length == 2 ? Optional.of(new ServiceVersion(parts[0], parts[1])) : Optional.empty();
    }
}
