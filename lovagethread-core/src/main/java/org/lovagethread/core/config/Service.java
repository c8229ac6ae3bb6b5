package org.lovagethread.core.config;

import java.util.Objects;
import org.lovagethread.core.Checks;

/**
 * Declares one service that callers can address.
 *
 * @param name the name that callers use
 * @param kind whether engines or plain servers answer
 * @param model the expected model; empty for a plain service
 * @param version the expected model version; empty for a plain service
 * @param firstTokenMillis the promised time to the first token, or to the whole answer of a plain service
 * @param betweenTokensMillis the promised time between tokens; zero for a plain service
 * @param checksFencing whether the upstreams refuse an order with an old fencing number
 */
public record Service(
        String name,
        ServiceKind kind,
        String model,
        String version,
        int firstTokenMillis,
        int betweenTokensMillis,
        boolean checksFencing) {

    /** Validates the fields. */
    public Service {
        Checks.notBlank(name, "service name");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(version, "version");
        Checks.inRange(firstTokenMillis, 1, 3_600_000, "first token promise in ms");
        Checks.inRange(betweenTokensMillis, 0, 60_000, "between tokens promise in ms");
    }
}
