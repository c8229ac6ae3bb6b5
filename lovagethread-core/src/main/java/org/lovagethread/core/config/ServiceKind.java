package org.lovagethread.core.config;

import java.util.Locale;

/** Distinguishes model engines from plain services. */
public enum ServiceKind {
    /** A pool of model engines that answer with token streams. */
    MODEL,
    /** A plain HTTP service, some of whose calls may not be repeated. */
    PLAIN;

    /**
     * Returns the word used in the sheet.
     *
     * @return the name in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
