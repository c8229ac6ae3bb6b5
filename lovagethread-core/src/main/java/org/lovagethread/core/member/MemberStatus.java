package org.lovagethread.core.member;

/** Lists what a node thinks of a peer. */
public enum MemberStatus {
    /** Heartbeats arrive. */
    ALIVE,
    /** Heartbeats are overdue; the peer is left out of address answers. */
    SUSPECT,
    /** Heartbeats have been missing for long; work that depends on the peer is given up. */
    DEAD
}
