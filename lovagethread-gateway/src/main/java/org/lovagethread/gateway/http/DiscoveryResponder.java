package org.lovagethread.gateway.http;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.Optional;
import org.lovagethread.gateway.policy.AddressPolicy;

/** Answers the questions whether this gateway is ready, and to which gateways a caller should connect. */
final class DiscoveryResponder {
    private final Gateway gateway;
    private final AddressPolicy addressPolicy;

    DiscoveryResponder(Gateway gateway, AddressPolicy addressPolicy) {
        this.gateway = gateway;
        this.addressPolicy = addressPolicy;
    }

    SimpleHttpServer.Response respond(FullHttpRequest request) {
        DiscoveryProtocol protocol = gateway.ports().discoveryProtocol();
        if (protocol.isReadinessCheck(request.uri())) {
            return SimpleHttpServer.Response.empty(
                    gateway.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
        Optional<DiscoveryProtocol.DirectoryQuery> query = protocol.parseDirectoryQuery(request.uri());
        if (query.isEmpty()) {
            return SimpleHttpServer.Response.empty(HttpResponseStatus.NOT_FOUND);
        }
        List<String> chosen = addressPolicy.choose(query.get().zone(), gateway.readyGateways(gateway.nowMillis()));
        if (chosen.isEmpty()) {
            return SimpleHttpServer.Response.empty(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
        int port = gateway.settings().callerAddress().getPort();
        byte[] body = protocol.encodeDirectoryResponse(
                chosen.stream().map(host -> host + ':' + port).toList(),
                Math.min(
                        AddressPolicy.ADDRESS_TTL_MILLIS,
                        gateway.settings().bounds().maxAddressTtlMillis()));
        return new SimpleHttpServer.Response(HttpResponseStatus.OK, "application/json", ByteString.copyFrom(body));
    }
}
