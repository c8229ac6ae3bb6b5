package org.lovagethread.gateway.http;

import java.util.OptionalLong;
import org.lovagethread.gateway.link.LinkStatement;
import org.lovagethread.wire.generated.LinkState;

/** Encodes and decodes what gateways tell each other of their links to upstreams. */
final class LinkStateCodec {
    private LinkStateCodec() {}

    static LinkState encode(LinkStatement statement) {
        LinkState.Builder state = LinkState.newBuilder().setIsolated(statement.isolated());
        statement.reachedAgeMillis().ifPresent(state::setReachedAgeMillis);
        return state.build();
    }

    /** Returns a statement. One that is missing in a message counts as that no upstream was ever reached. */
    static LinkStatement decode(LinkState links) {
        return new LinkStatement(
                links.getIsolated(),
                links.hasReachedAgeMillis() ? OptionalLong.of(links.getReachedAgeMillis()) : OptionalLong.empty());
    }
}
