package org.lovagethread.wire;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests {@link PeerTransport} over loopback. */
class PeerTransportTest {
    private static final long RETRY_DELAY_NANOS = 10_000_000;
    private static final int MAX_ATTEMPTS = 500;
    private static final long RECEIVE_TIMEOUT_SECONDS = 30;

    private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
    private PeerTransport server;
    private String address;

    @BeforeEach
    void listen() throws InterruptedException {
        server = new PeerTransport("server", new PeerKey("secret"), (message, reply) -> {
            received.add(message);
            reply.accept(new PeerMessage.HandOverReply(1, true));
        });
        address = "127.0.0.1:" + server.listen("127.0.0.1", 0);
    }

    @AfterEach
    void close() {
        server.close();
    }

    private boolean sendWithRetries(PeerTransport client) throws InterruptedException {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            if (client.send(address, new PeerMessage.ConfigurationRequest(3))) {
                return true;
            }
            LockSupport.parkNanos(RETRY_DELAY_NANOS);
        }
        return false;
    }

    @Test
    void deliversMessagesAndReplies() throws InterruptedException {
        BlockingQueue<PeerMessage> replies = new LinkedBlockingQueue<>();
        try (PeerTransport client =
                new PeerTransport("client", new PeerKey("secret"), (message, reply) -> replies.add(message))) {
            assertThat(sendWithRetries(client)).isTrue();
            assertThat(received.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .isEqualTo(new PeerMessage.ConfigurationRequest(3));
            assertThat(replies.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS))
                    .isEqualTo(new PeerMessage.HandOverReply(1, true));
        }
    }

    @Test
    void rejectsAPeerWithAnotherKey() throws InterruptedException {
        try (PeerTransport client = new PeerTransport("client", new PeerKey("wrong"), (message, reply) -> {})) {
            for (int i = 0; i < 50; i++) {
                assertThat(client.send(address, new PeerMessage.ConfigurationRequest(3)))
                        .isFalse();
                LockSupport.parkNanos(RETRY_DELAY_NANOS);
            }
        }
        assertThat(received).isEmpty();
    }

    @Test
    void closesOnlyTheConnectionThatSentInvalidBytes() throws IOException, InterruptedException {
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream().write(new byte[] {0, 0, 0, 4, 1, 2, 3, 4, 127, 127, 127, 127});
            assertThat(socket.getInputStream().readAllBytes()).isNotEmpty();
        }
        deliversMessagesAndReplies();
    }
}
