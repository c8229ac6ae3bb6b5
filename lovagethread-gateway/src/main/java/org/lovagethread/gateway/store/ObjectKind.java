package org.lovagethread.gateway.store;

/** Kinds of objects in the store that a gateway reads or writes. */
public enum ObjectKind {
    /** The operators' configuration. */
    CONFIGURATION,
    /** What upstreams say of themselves. */
    UPSTREAMS,
    /** The gateways themselves. */
    GATEWAYS,
    /** The lease for duties, and reports that are fixed before they are sent. */
    DUTIES
}
