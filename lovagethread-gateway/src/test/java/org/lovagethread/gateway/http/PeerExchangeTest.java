package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.GatewaySettings;
import org.lovagethread.gateway.SilenceTimeouts;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.policy.AddressPolicy.GatewayAddress;
import org.lovagethread.gateway.store.FakeStore;
import org.lovagethread.wire.generated.GatewayState;
import org.lovagethread.wire.generated.LinkState;

class PeerExchangeTest {
    private static final long NOW_MILLIS = 1_000;

    private final Gateway gateway = new Gateway(
            settings(),
            http -> new PlatformPorts(new FakeStore(), null, null, new FakeExchangeContext(0), null),
            new EventLog("g", new ByteArrayOutputStream()));
    private final PeerExchange exchange = new PeerExchange(gateway, null);

    private static GatewaySettings settings() {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        GatewaySettings.Bounds bounds = new GatewaySettings.Bounds(
                2_000, 0.2, 52, 10_000, 0, 0, 3_000, 5_000, 10_000, 5_000, new SilenceTimeouts(4_000));
        return new GatewaySettings(
                "g", "127.0.0.1", "a", Map.of("a", "r"), anyPort, anyPort, anyPort, 0, anyPort, 100, List.of(), bounds);
    }

    private void receive(String host, long sequence, boolean isolated) {
        gateway.peers()
                .update(
                        GatewayState.newBuilder()
                                .setNode("node-" + host)
                                .setHost(host)
                                .setZone("a")
                                .setSequence(sequence)
                                .setReady(true)
                                .setLinks(LinkState.newBuilder().setIsolated(isolated))
                                .build(),
                        NOW_MILLIS);
    }

    private List<String> readyHosts() {
        return exchange.readyGateways(NOW_MILLIS).stream()
                .map(GatewayAddress::host)
                .toList();
    }

    @Nested
    class ReadyGateways {
        @Test
        void leaveOutThoseThatAreCutOff() {
            receive("127.0.0.2", 1, false);
            receive("127.0.0.3", 1, true);
            assertThat(readyHosts()).containsExactly("127.0.0.2");
        }

        @Test
        void haveThoseThatHaveReturned() {
            receive("127.0.0.2", 1, false);
            receive("127.0.0.3", 1, true);
            receive("127.0.0.3", 2, false);
            assertThat(readyHosts()).containsExactly("127.0.0.2", "127.0.0.3");
        }

        @Test
        void areAllIfAllAreCutOff() {
            receive("127.0.0.2", 1, true);
            receive("127.0.0.3", 1, true);
            assertThat(readyHosts()).containsExactly("127.0.0.2", "127.0.0.3");
        }
    }
}
