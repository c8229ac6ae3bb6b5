package org.lovagethread.gateway.http;

import java.util.OptionalLong;
import org.lovagethread.gateway.link.LinkStatement;
import org.lovagethread.wire.generated.GatewayState;
import org.lovagethread.wire.generated.LinkState;

/** Encodes and decodes what gateways tell each other of their links to upstreams. */
final class LinkStateCodec {
    private LinkStateCodec() {}

    static LinkState.Builder encode(LinkStatement statement) {
        LinkState.Builder state = LinkState.newBuilder().setIsolated(statement.isolated());
        statement.reachedAgeMillis().ifPresent(state::setReachedAgeMillis);
        return state;
    }

    /** Returns the statement of a peer. A peer that states nothing has never reached an upstream. */
    static LinkStatement decode(GatewayState state) {
        LinkState links = state.getLinks();
        return new LinkStatement(
                links.getIsolated(),
                links.hasReachedAgeMillis() ? OptionalLong.of(links.getReachedAgeMillis()) : OptionalLong.empty());
    }
}
