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

/** Answers short requests at once. */
final class SimpleServer extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int MOST_BODY_BYTES = 65_536;

    private final Function<FullHttpRequest, Answer> answers;

    /**
     * An answer.
     *
     * @param status the status
     * @param contentType the type of the body
     * @param body the body
     */
    record Answer(HttpResponseStatus status, String contentType, ByteString body) {
        /** Returns an answer without a body. */
        static Answer empty(HttpResponseStatus status) {
            return new Answer(status, "text/plain", ByteString.EMPTY);
        }
    }

    private SimpleServer(Function<FullHttpRequest, Answer> answers) {
        this.answers = answers;
    }

    /**
     * Prepares a new connection.
     *
     * @param channel the connection
     * @param answers returns the answer to a request
     */
    static void accept(SocketChannel channel, Function<FullHttpRequest, Answer> answers) {
        channel.pipeline()
                .addLast(new HttpServerCodec())
                .addLast(new HttpObjectAggregator(MOST_BODY_BYTES))
                .addLast(new SimpleServer(answers));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        Answer answer = request.decoderResult().isFailure()
                ? Answer.empty(HttpResponseStatus.BAD_REQUEST)
                : answers.apply(request);
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                answer.status(),
                Unpooled.wrappedBuffer(answer.body().asReadOnlyByteBuffer()));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().size());
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
