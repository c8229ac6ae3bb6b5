package org.lovagethread.gateway.store;

/** Kinds of objects in the store that a gateway reads or writes. */
public enum ObjectKind {
    /** Configurations written by operators. */
    CONFIGURATION,
    /** Registrations of upstreams. */
    UPSTREAMS,
    /** Registrations of gateways. */
    GATEWAYS,
    /** The duty lease, and usage reports, which are stored before they are sent. */
    DUTIES
}
