package org.lovagethread.core.member;

/** Status of a peer, derived from its heartbeats. */
public enum MemberStatus {
    /** Heartbeats are received on time. */
    ALIVE,
    /** Heartbeats are overdue; the peer's address is not returned to callers. */
    SUSPECT,
    /** No heartbeat was received within the timeout; work that depends on the peer is abandoned. */
    DEAD
}
