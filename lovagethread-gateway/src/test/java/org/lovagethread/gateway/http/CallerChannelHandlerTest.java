package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.GatewaySettings;
import org.lovagethread.gateway.config.ClientLimits;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.store.FakeStore;

class CallerChannelHandlerTest {
    private static final HttpHeaders NO_HEADERS = new DefaultHttpHeaders();

    private final Gateway gateway = new Gateway(
            settings(),
            client -> new PlatformPorts(new FakeStore(), null, null, new FakeExchangeContext(0), null),
            new EventLog("node", new ByteArrayOutputStream()));
    private final CallerChannelHandler handler = new CallerChannelHandler(gateway.callerServer(), ClientLimits.DEFAULT);
    private final EmbeddedChannel channel =
            new EmbeddedChannel(new StrictRequestDecoder(65_536), new HttpResponseEncoder(), handler);

    private static ByteBuf text() {
        return Unpooled.copiedBuffer("error", StandardCharsets.US_ASCII);
    }

    private static GatewaySettings settings() {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return new GatewaySettings(
                "node",
                "127.0.0.1",
                "a",
                Map.of("a", "north"),
                address,
                address,
                address,
                0,
                address,
                1,
                List.of(),
                new GatewaySettings.Bounds(10_000, 0.2, 52, 10_000, 0.1, 100, 5_000, 5_000, 2_000, 2_000));
    }

    @BeforeEach
    void startStream() {
        channel.writeInbound(Unpooled.copiedBuffer(
                "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n", StandardCharsets.US_ASCII));
        handler.startStream(HttpResponseStatus.OK, NO_HEADERS);
        handler.sendStreamData(Unpooled.copiedBuffer("id: 1\n\n", StandardCharsets.US_ASCII));
    }

    private String written() {
        StringBuilder text = new StringBuilder();
        ByteBuf bytes = channel.readOutbound();
        while (bytes != null) {
            text.append(bytes.toString(StandardCharsets.US_ASCII));
            bytes = channel.readOutbound();
        }
        return text.toString();
    }

    private void assertAbortedWithOneHead() {
        assertThat(channel.isActive()).isFalse();
        assertThat(written())
                .containsOnlyOnce("HTTP/1.1")
                .doesNotContain("error")
                .doesNotEndWith("0\r\n\r\n");
    }

    @Test
    void doesNotWriteResponseIntoStream() {
        assertThatThrownBy(() -> handler.sendResponse(HttpResponseStatus.NOT_FOUND, NO_HEADERS, text()))
                .isInstanceOf(IllegalStateException.class);
        assertAbortedWithOneHead();
    }

    @Test
    void doesNotWriteErrorIntoStream() {
        assertThatThrownBy(() -> handler.sendError(ErrorKind.UPSTREAM_FAILED, 0))
                .isInstanceOf(IllegalStateException.class);
        assertAbortedWithOneHead();
    }

    @Test
    void doesNotStartStreamTwice() {
        assertThatThrownBy(() -> handler.startStream(HttpResponseStatus.OK, NO_HEADERS))
                .isInstanceOf(IllegalStateException.class);
        assertAbortedWithOneHead();
    }

    @Test
    void doesNotContinueStreamAfterItsEnd() {
        handler.endStream();
        String before = written();
        assertThatThrownBy(() -> handler.sendStreamData(text())).isInstanceOf(IllegalStateException.class);
        assertThat(before).endsWith("0\r\n\r\n");
        assertThat(written()).isEmpty();
    }
}
