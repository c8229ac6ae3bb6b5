package org.lovagethread.core.upstream;

import java.util.Objects;
import org.lovagethread.core.Checks;

/**
 * Entry of the instance list for one instance.
 *
 * @param id the identifier of the instance
 * @param service the service to which the instance belongs
 * @param address the host and port
 * @param zone the availability zone
 * @param region the region
 * @param version the model and version served by an engine, as {@code model@version}; empty for a plain server
 * @param leaving whether the list marks the instance as leaving
 */
public record UpstreamInfo(
        String id, String service, String address, String zone, String region, String version, boolean leaving) {

    /** Validates the fields. */
    public UpstreamInfo {
        Checks.notBlank(id, "upstream id");
        Objects.requireNonNull(service, "service");
        Checks.notBlank(address, "address");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(region, "region");
        version = Objects.requireNonNullElse(version, "");
    }
}
