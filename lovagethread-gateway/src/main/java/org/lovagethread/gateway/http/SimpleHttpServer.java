package org.lovagethread.gateway.http;

import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.function.Function;

/** An HTTP server for short requests that a function answers synchronously. */
final class SimpleHttpServer extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int MAX_BODY_BYTES = 65_536;

    private final Function<FullHttpRequest, Response> responder;

    /**
     * A response.
     *
     * @param status the status
     * @param contentType the media type of the body
     * @param body the body
     */
    record Response(HttpResponseStatus status, String contentType, ByteString body) {
        /** Returns a response without a body. */
        static Response empty(HttpResponseStatus status) {
            return new Response(status, "text/plain", ByteString.EMPTY);
        }
    }

    private SimpleHttpServer(Function<FullHttpRequest, Response> responder) {
        this.responder = responder;
    }

    /**
     * Sets up a new connection.
     *
     * @param channel the connection
     * @param responder returns the response to a request
     */
    static void accept(SocketChannel channel, Function<FullHttpRequest, Response> responder) {
        channel.pipeline()
                .addLast(new HttpServerCodec())
                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                .addLast(new SimpleHttpServer(responder));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        Response result = request.decoderResult().isFailure()
                ? Response.empty(HttpResponseStatus.BAD_REQUEST)
                : responder.apply(request);
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                result.status(),
                Unpooled.wrappedBuffer(result.body().asReadOnlyByteBuffer()));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, result.contentType());
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, result.body().size());
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        HttpUtil.setKeepAlive(response, keepAlive);
        var written = ctx.writeAndFlush(response);
        if (!keepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
