package org.lovagethread.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.exchange.ActiveRequest;
import org.lovagethread.gateway.exchange.CallerConnection;

/** Records what a caller receives. */
final class FakeCaller implements CallerConnection {
    volatile ActiveRequest activeRequest;
    final AtomicInteger flushes = new AtomicInteger();
    volatile long retryAfterMillis;
    volatile boolean writable = true;
    volatile boolean ended;
    private final AtomicReference<String> response = new AtomicReference<>("");
    private final AtomicReference<String> streamed = new AtomicReference<>("");
    final HttpHeaders headers = new DefaultHttpHeaders();

    /** Returns what has been received without the data of the stream. */
    String response() {
        return response.get();
    }

    /** Returns the received data of the stream. */
    String streamed() {
        return streamed.get();
    }

    @Override
    public void attach(ActiveRequest request) {
        activeRequest = request;
    }

    private void record(String text) {
        if (ended) {
            throw new IllegalStateException("response has already ended with " + response);
        }
        response.accumulateAndGet(text, String::concat);
    }

    private void end(String text) {
        record(text);
        ended = true;
    }

    @Override
    public void sendResponse(HttpResponseStatus status, HttpHeaders responseHeaders, ByteBuf body) {
        headers.set(responseHeaders);
        end(status + " " + body.toString(StandardCharsets.UTF_8));
    }

    @Override
    public void sendError(ErrorKind kind, long retryMillis) {
        retryAfterMillis = retryMillis;
        end(kind.status() + " " + kind.label());
    }

    @Override
    public void startStream(HttpResponseStatus status, HttpHeaders responseHeaders) {
        headers.set(responseHeaders);
        record(status.code() + " stream");
    }

    @Override
    public void addStreamData(ByteBuf bytes) {
        streamed.accumulateAndGet(bytes.toString(StandardCharsets.UTF_8), String::concat);
    }

    @Override
    public boolean flushStream() {
        flushes.incrementAndGet();
        return writable;
    }

    @Override
    public void endStream() {
        end(" complete");
    }

    @Override
    public void abort() {
        end(" aborted");
    }
}
