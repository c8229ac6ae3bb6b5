package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagethread.gateway.SilenceTimeouts;

class PooledHttpClientTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final long SHORT_TIMEOUT_MILLIS = 500;
    private static final String STALE = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    private static final String FRESH = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final EventLoop loop = group.next();
    private final PooledHttpClient client = new PooledHttpClient(loop, new SilenceTimeouts(4_000));

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private static PooledHttpClient.Request request(ScriptedServer server) {
        return request(server, TIMEOUT_MILLIS);
    }

    private static PooledHttpClient.Request request(ScriptedServer server, long timeoutMillis) {
        return new PooledHttpClient.Request(
                server.address(), HttpMethod.GET, "/x", Map.of(), ByteString.EMPTY, timeoutMillis);
    }

    private static ScriptedServer startServer(String firstResponse) throws IOException {
        return new ScriptedServer((connection, request) ->
                ScriptedServer.Reply.keep(connection == 1 && request == 1 ? firstResponse : FRESH));
    }

    private int statusOfRequestSentByCallback(ScriptedServer server) throws Exception {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        loop.execute(() -> client.send(
                request(server), first -> client.send(request(server), second -> status.complete(second.status()))));
        return status.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Test
    void doesNotTakeSurplusResponseAsResponseToNextRequest() throws Exception {
        try (ScriptedServer server = startServer(FRESH + STALE)) {
            assertThat(statusOfRequestSentByCallback(server)).isEqualTo(200);
        }
    }

    // Bytes behind a response were joined with the head of the next one, so its status was taken from them.
    @Test
    void doesNotTakeSurplusBytesAsPartOfTheNextResponse() throws Exception {
        try (ScriptedServer server = startServer(FRESH + "HTTP/1.1 503 Busy\r\nA: ")) {
            assertThat(statusOfRequestSentByCallback(server)).isEqualTo(200);
        }
    }

    // After connections had gone silent, each of them was tried in turn until its call timed out.
    @Test
    void closesIdleConnectionsIfOneHasGoneSilent() throws Exception {
        try (ScriptedServer server = new ScriptedServer(
                (connection, request) -> ScriptedServer.Reply.keep(connection <= 2 && request > 1 ? "" : FRESH))) {
            CompletableFuture<Integer> first = new CompletableFuture<>();
            CompletableFuture<Integer> second = new CompletableFuture<>();
            loop.execute(() -> {
                client.send(request(server), response -> first.complete(response.status()));
                client.send(request(server), response -> second.complete(response.status()));
            });
            assertThat(first.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo(200);
            assertThat(second.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo(200);
            CompletableFuture<Integer> afterSilence = new CompletableFuture<>();
            loop.execute(() -> client.send(
                    request(server, SHORT_TIMEOUT_MILLIS),
                    silent -> client.send(
                            request(server, SHORT_TIMEOUT_MILLIS),
                            response -> afterSilence.complete(response.status()))));
            assertThat(afterSilence.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo(200);
            assertThat(server.connections()).isEqualTo(3);
        }
    }

    @Test
    void reusesConnectionForRequestSentByCallback() throws Exception {
        try (ScriptedServer server = startServer(FRESH)) {
            assertThat(statusOfRequestSentByCallback(server)).isEqualTo(200);
            assertThat(server.connections()).isEqualTo(1);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA b: c\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nA\u0001: c\r\n\r\n"
            })
    void doesNotTakeAMalformedHeadForAResponse(String response) throws Exception {
        try (ScriptedServer server = new ScriptedServer((connection, request) -> ScriptedServer.Reply.keep(response))) {
            CompletableFuture<PooledHttpClient.Response> received = new CompletableFuture<>();
            loop.execute(() -> client.send(request(server), received::complete));
            assertThat(received.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
                    .isEqualTo(new PooledHttpClient.Response(0, true, EmptyHttpHeaders.INSTANCE, ByteString.EMPTY));
        }
    }

    // After a cut, the platform received an order of a former lease holder that had timed out long before.
    @Nested
    class GivenUpCalls {
        private void assertReset(String response, long timeoutMillis) throws Exception {
            try (ScriptedServer server =
                    new ScriptedServer((connection, request) -> ScriptedServer.Reply.keep(response))) {
                CompletableFuture<Integer> status = new CompletableFuture<>();
                loop.execute(
                        () -> client.send(request(server, timeoutMillis), reply -> status.complete(reply.status())));
                assertThat(status.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isZero();
                assertThat(server.awaitClientEnding(TIMEOUT_MILLIS)).isEqualTo(ScriptedServer.ClientEnding.RESET);
            }
        }

        @Test
        void resetTheirConnectionAfterATimeout() throws Exception {
            assertReset("", SHORT_TIMEOUT_MILLIS);
        }

        @Test
        void resetTheirConnectionAfterAPartOfTheResponse() throws Exception {
            assertReset("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", SHORT_TIMEOUT_MILLIS);
        }

        @Test
        void resetTheirConnectionAfterAMalformedResponse() throws Exception {
            assertReset("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", TIMEOUT_MILLIS);
        }

        @Test
        void resetAKeptConnectionToo() throws Exception {
            try (ScriptedServer server =
                    new ScriptedServer((connection, request) -> ScriptedServer.Reply.keep(request > 1 ? "" : FRESH))) {
                CompletableFuture<Integer> status = new CompletableFuture<>();
                loop.execute(() -> client.send(
                        request(server),
                        first -> client.send(
                                request(server, SHORT_TIMEOUT_MILLIS), second -> status.complete(second.status()))));
                assertThat(status.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isZero();
                assertThat(server.awaitClientEnding(TIMEOUT_MILLIS)).isEqualTo(ScriptedServer.ClientEnding.RESET);
            }
        }
    }
}
