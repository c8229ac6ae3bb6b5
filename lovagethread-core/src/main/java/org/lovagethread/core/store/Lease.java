package org.lovagethread.core.store;

import java.util.Objects;

/**
 * Records who may give orders.
 *
 * @param token a text unique to the holder's process and term, by which a holder recognises its own lease
 * @param node the node that holds the lease
 * @param fence the fencing number, which rises with each change of holder
 * @param renewal the number of the renewal, so that every renewal changes the object
 */
public record Lease(String token, String node, long fence, long renewal) {

    /** Validates the fields. */
    public Lease {
        Objects.requireNonNull(token, "token");
        Objects.requireNonNull(node, "node");
    }
}
