package org.lovagethread.wire;

import java.util.List;
import java.util.Objects;
import org.lovagethread.core.call.CallRequest;
import org.lovagethread.core.member.PeerState;

/** Message between nodes over an authenticated connection. */
public sealed interface PeerMessage {

    /**
     * State of the sender.
     *
     * @param state the state
     */
    record Heartbeat(PeerState state) implements PeerMessage {}

    /**
     * Request for the active configuration at the receiver.
     *
     * @param revision the revision that the sender expects the receiver to have
     */
    record ConfigurationRequest(long revision) implements PeerMessage {}

    /**
     * Complete configuration sheet.
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
     * Request to hand over a stream to the receiver.
     *
     * @param transfer the identifier of the transfer, unique per sender
     * @param request the call as the sender accepted it
     * @param body the body of the call
     * @param lines the lines of the chunks received so far, starting after {@code request.fromChunk()}
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
     * Reply to a {@link HandOver} that states whether the receiver continues the stream.
     *
     * @param transfer the identifier of the transfer
     * @param accepted whether the receiver continues the stream
     */
    record HandOverReply(long transfer, boolean accepted) implements PeerMessage {}
}
