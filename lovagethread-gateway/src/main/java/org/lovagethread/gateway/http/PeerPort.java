package org.lovagethread.gateway.http;

import com.google.protobuf.ByteString;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.lovagethread.gateway.relay.RelayDetector;
import org.lovagethread.gateway.relay.RelayServer;
import org.lovagethread.gateway.store.StateSync;

/** Accepts connections of peers, which fetch the state of this gateway or pass requests to it. */
final class PeerPort {
    /** Path under which a gateway serves its configuration to peers. */
    static final String CONFIGURATION_URI = "/configuration";

    /** Path under which a gateway serves its upstreams to peers. */
    static final String UPSTREAMS_URI = "/upstreams";

    private final StateSync sync;
    private final RelayServer relayServer;

    PeerPort(StateSync sync, RelayServer relayServer) {
        this.sync = sync;
        this.relayServer = relayServer;
    }

    /**
     * Sets up a new connection.
     *
     * @param channel the connection
     */
    void accept(SocketChannel channel) {
        channel.pipeline()
                .addLast(new RelayDetector(relayServer, () -> SimpleHttpServer.accept(channel, this::response)));
    }

    private SimpleHttpServer.Response response(FullHttpRequest request) {
        ByteString body =
                switch (request.uri()) {
                    case CONFIGURATION_URI -> sync.compressedConfiguration().orElse(ByteString.EMPTY);
                    case UPSTREAMS_URI -> sync.compressedUpstreams();
                    default -> ByteString.EMPTY;
                };
        return new SimpleHttpServer.Response(HttpResponseStatus.OK, "application/octet-stream", body);
    }
}
