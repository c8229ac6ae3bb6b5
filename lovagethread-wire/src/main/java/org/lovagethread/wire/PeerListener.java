package org.lovagethread.wire;

import java.util.function.Consumer;

/** Takes the messages of authenticated peers; called on the transport's thread. */
@FunctionalInterface
public interface PeerListener {
    /**
     * Handles one message.
     *
     * @param message the message
     * @param reply sends a message back over the same connection
     */
    void onMessage(PeerMessage message, Consumer<PeerMessage> reply);
}
