package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.GatewaySettings;
import org.lovagethread.gateway.SilenceTimeouts;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.store.FakeStore;

class GatewayTest {
    private static final int READ_TIMEOUT_MILLIS = 5_000;
    private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

    private static GatewaySettings settings() {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        GatewaySettings.Bounds bounds = new GatewaySettings.Bounds(
                2_000, 0.2, 52, 10_000, 0, 0, 3_000, 5_000, 10_000, 5_000, new SilenceTimeouts(4_000));
        return new GatewaySettings(
                "g", "127.0.0.1", "a", Map.of("a", "r"), anyPort, anyPort, anyPort, 0, anyPort, 100, List.of(), bounds);
    }

    private static HeaderCodec failingCodec() {
        return (HeaderCodec) Proxy.newProxyInstance(
                HeaderCodec.class.getClassLoader(), new Class<?>[] {HeaderCodec.class}, (proxy, method, args) -> {
                    throw new IllegalStateException("failing codec");
                });
    }

    private static String firstLine(InetSocketAddress address) throws IOException {
        try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
            caller.setSoTimeout(READ_TIMEOUT_MILLIS);
            caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.UTF_8));
            byte[] bytes = new byte[256];
            int length = caller.getInputStream().read(bytes);
            return length < 0 ? "closed" : new String(bytes, 0, length, StandardCharsets.UTF_8).split("\r\n", 2)[0];
        }
    }

    @Nested
    class RequestsThatFailWithAnException {
        @Test
        void getAResponseInsteadOfAClosedConnection() throws Exception {
            EventLog log = new EventLog("g", new ByteArrayOutputStream());
            log.start();
            Gateway gateway = new Gateway(
                    settings(), http -> new PlatformPorts(new FakeStore(), null, null, failingCodec(), null), log);
            gateway.start();
            assertThat(firstLine(gateway.boundCallerAddress())).isEqualTo("HTTP/1.1 503 Service Unavailable");
            gateway.stop();
            gateway.awaitStop();
        }
    }
}
