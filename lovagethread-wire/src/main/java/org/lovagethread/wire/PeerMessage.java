package org.lovagethread.wire;

import java.util.List;
import java.util.Objects;
import org.lovagethread.core.call.CallRequest;
import org.lovagethread.core.member.PeerState;

/** Marks the messages that nodes send each other once a connection is authenticated. */
public sealed interface PeerMessage {

    /**
     * Carries the state of the sender.
     *
     * @param state the state
     */
    record Heartbeat(PeerState state) implements PeerMessage {}

    /**
     * Asks for the configuration in force at the receiver.
     *
     * @param revision the revision that the sender expects there
     */
    record ConfigurationRequest(long revision) implements PeerMessage {}

    /**
     * Carries a whole sheet.
     *
     * @param revision the revision of the configuration
     * @param digest the SHA-256 digest of the sheet in hexadecimal
     * @param sheet the text of the sheet
     */
    record ConfigurationOffer(long revision, String digest, String sheet) implements PeerMessage {
        /** Validates the fields. */
        public ConfigurationOffer {
            Objects.requireNonNull(digest, "digest");
            Objects.requireNonNull(sheet, "sheet");
        }
    }

    /**
     * Moves a stream to the receiver.
     *
     * @param transfer the number of the transfer, unique at the sender
     * @param request the call as the sender accepted it
     * @param body the body of the call
     * @param lines the chunk lines received so far, from the first chunk after {@code request.fromChunk()}
     */
    record HandOver(long transfer, CallRequest request, String body, List<String> lines) implements PeerMessage {
        /** Validates the fields and copies the list. */
        public HandOver {
            Objects.requireNonNull(request, "request");
            Objects.requireNonNull(body, "body");
            lines = List.copyOf(lines);
        }
    }

    /**
     * Tells whether the receiver of a {@link HandOver} carries the stream on.
     *
     * @param transfer the number of the transfer
     * @param accepted whether the stream goes on there
     */
    record HandOverReply(long transfer, boolean accepted) implements PeerMessage {}
}
