package org.lovagethread.core.upstream;

import org.lovagethread.core.Checks;

/**
 * Number of attempts that one node has in flight at an upstream.
 *
 * @param upstream the identifier of the upstream
 * @param inFlight the number of attempts
 */
public record UpstreamLoad(String upstream, int inFlight) {

    /** Validates the fields. */
    public UpstreamLoad {
        Checks.notBlank(upstream, "upstream");
    }
}
