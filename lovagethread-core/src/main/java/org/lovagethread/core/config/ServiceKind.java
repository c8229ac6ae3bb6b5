package org.lovagethread.core.config;

import java.util.Locale;

/** Kind of the upstreams that provide a service. */
public enum ServiceKind {
    /** A pool of model engines that produce token streams. */
    MODEL,
    /** A plain HTTP service, which may have non-idempotent operations. */
    PLAIN;

    /**
     * Returns the label used in the configuration sheet.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
