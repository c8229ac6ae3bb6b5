package org.lovagethread.core.config;

import java.util.Objects;
import org.lovagethread.core.Checks;

/**
 * A service that callers can request.
 *
 * @param name the name of the service
 * @param kind the kind of upstreams that provide the service
 * @param model the expected model; empty for a plain service
 * @param version the expected model version; empty for a plain service
 * @param firstTokenMillis the target time to the first token or, for a plain service, to the complete response
 * @param betweenTokensMillis the target time between tokens; zero for a plain service
 * @param checksFencing whether the upstreams reject orders with an outdated fencing token
 */
public record Service(
        String name,
        ServiceKind kind,
        String model,
        String version,
        int firstTokenMillis,
        int betweenTokensMillis,
        boolean checksFencing) {

    /** Validates the components. */
    public Service {
        Checks.notBlank(name, "service name");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(version, "version");
        Checks.inRange(firstTokenMillis, 1, 3_600_000, "first token target in ms");
        Checks.inRange(betweenTokensMillis, 0, 60_000, "time between tokens target in ms");
    }
}
