package org.lovagethread.wire;

import java.util.function.Consumer;

/** Receives the messages of authenticated peers; called on the thread of the transport. */
@FunctionalInterface
public interface PeerListener {
    /**
     * Handles one message.
     *
     * @param message the message received
     * @param reply sends a reply over the same connection
     */
    void onMessage(PeerMessage message, Consumer<PeerMessage> reply);
}
