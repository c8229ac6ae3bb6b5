package org.lovagethread.gateway.store;

/** Kinds of objects in the store that a gateway reads or writes. */
public enum ObjectKind {
    /** Configurations written by operators. */
    CONFIGURATION,
    /** Registrations of upstreams. */
    UPSTREAMS,
    /** Registrations of gateways. */
    GATEWAYS,
    /**
     * The duty lease, usage reports, which are stored before they are sent, decisions about rollouts, and the evidence
     * against prompt parts.
     */
    DUTIES,
    /** Orders of operators to move the traffic of a service to another version; gateways write their status. */
    ROLLOUTS,
    /** Software versions at which streams began; gateways write them while a service has several versions. */
    STREAMS
}
