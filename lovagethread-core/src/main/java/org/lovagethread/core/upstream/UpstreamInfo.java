package org.lovagethread.core.upstream;

import java.util.Objects;
import org.lovagethread.core.Checks;

/**
 * Describes one instance as the instance list shows it.
 *
 * @param id the identifier of the instance
 * @param service the service that it belongs to
 * @param address the host and port
 * @param zone the availability zone
 * @param region the region
 * @param version the model and version that an engine serves, as {@code model@version}; empty for a plain server
 * @param leaving whether the list shows it as leaving
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
