package org.lovagethread.core.store;

import java.util.Objects;

/**
 * Stored record of the node that may send orders to engines.
 *
 * @param token a string unique to the holder's process and term, by which a holder recognizes its own lease
 * @param node the node that holds the lease
 * @param fence the fencing token, which increases with each change of holder
 * @param renewal the number of the renewal, which makes every renewal change the stored object
 */
public record Lease(String token, String node, long fence, long renewal) {

    /** Validates the fields. */
    public Lease {
        Objects.requireNonNull(token, "token");
        Objects.requireNonNull(node, "node");
    }
}
