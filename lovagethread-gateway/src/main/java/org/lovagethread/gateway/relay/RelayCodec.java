package org.lovagethread.gateway.relay;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.wire.generated.RelayFrame;
import org.lovagethread.wire.generated.RelayHeader;
import org.lovagethread.wire.generated.RelayRequest;
import org.lovagethread.wire.generated.RelayResponseHead;

/** Translates between frames of relay connections, their bytes, and requests and responses. */
final class RelayCodec {
    private static final int LENGTH_BYTES = 4;

    private RelayCodec() {}

    /** Adds the handlers that translate between frames and bytes. */
    static void addTo(ChannelPipeline pipeline, int maxFrameBytes) {
        pipeline.addLast(
                new LengthFieldBasedFrameDecoder(maxFrameBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                new ProtobufDecoder(RelayFrame.getDefaultInstance()),
                new LengthFieldPrepender(LENGTH_BYTES),
                new ProtobufEncoder());
    }

    static RelayRequest encodeRequest(HttpRequest header, ByteBuf body, long remainingMillis) {
        return RelayRequest.newBuilder()
                .setMethod(header.method().name())
                .setUri(header.uri())
                .addAllHeaders(encodeHeaders(header.headers()))
                .setRemainingMillis(remainingMillis)
                .setBody(encodeBytes(body))
                .build();
    }

    static HttpRequest decodeRequest(RelayRequest request) {
        return new DefaultHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(request.getMethod()),
                request.getUri(),
                decodeHeaders(request.getHeadersList()));
    }

    static RelayResponseHead encodeHead(HttpResponseStatus status, HttpHeaders headers) {
        return RelayResponseHead.newBuilder()
                .setStatus(status.code())
                .setReasonPhrase(status.reasonPhrase())
                .addAllHeaders(encodeHeaders(headers))
                .build();
    }

    static HttpResponseStatus decodeStatus(RelayResponseHead head) {
        return new HttpResponseStatus(head.getStatus(), head.getReasonPhrase());
    }

    static HttpHeaders decodeHeaders(List<RelayHeader> headers) {
        HttpHeaders decoded = new DefaultHttpHeaders();
        headers.forEach(header -> decoded.add(header.getName(), header.getValue()));
        return decoded;
    }

    static ByteString encodeBytes(ByteBuf bytes) {
        return ByteString.copyFrom(bytes.nioBuffer());
    }

    static ByteBuf decodeBytes(ByteString bytes) {
        return Unpooled.wrappedBuffer(bytes.asReadOnlyByteBuffer());
    }

    /** Returns the kind of error with a label; empty if this version does not know it. */
    static Optional<ErrorKind> decodeErrorKind(String label) {
        return Arrays.stream(ErrorKind.values())
                .filter(kind -> kind.label().equals(label))
                .findFirst();
    }

    private static List<RelayHeader> encodeHeaders(HttpHeaders headers) {
        List<RelayHeader> encoded = new ArrayList<>();
        for (Map.Entry<String, String> header : headers) {
            encoded.add(RelayHeader.newBuilder()
                    .setName(header.getKey())
                    .setValue(header.getValue())
                    .build());
        }
        return encoded;
    }
}
