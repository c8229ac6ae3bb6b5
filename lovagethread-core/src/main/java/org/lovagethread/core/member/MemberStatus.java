package org.lovagethread.core.member;

/** Status of a peer as judged by its heartbeats. */
public enum MemberStatus {
    /** Heartbeats are received on time. */
    ALIVE,
    /** Heartbeats are overdue; the peer's address is not returned to callers. */
    SUSPECT,
    /** No heartbeat was received within the time-out; work that depends on the peer is abandoned. */
    DEAD
}
