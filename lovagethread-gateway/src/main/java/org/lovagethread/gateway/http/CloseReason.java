package org.lovagethread.gateway.http;

import java.util.Locale;

/** Reasons for which a gateway closes a caller's connection without a response. */
enum CloseReason {
    /** No request was received within the idle timeout. */
    IDLE,
    /** A request was not received completely within its timeout. */
    SLOW_REQUEST,
    /** The caller sent too many requests ahead of the responses. */
    PIPELINE_FULL;

    /** Returns the label of the reason in metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
