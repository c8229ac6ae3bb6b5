package org.lovagethread.node.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.ByteBuf;
import java.util.Optional;
import org.lovagethread.core.call.AttemptOutcome;
import org.lovagethread.node.caller.ChunkResult;
import org.lovagethread.supplier.Json;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Reads the stream of an engine and passes on only chunks that belong to the call and come in order.
 *
 * <p>The answer is whole only when the end marker has arrived and its count agrees with the chunks received.
 */
final class EngineStreamReader implements Subscriber<ByteBuf> {
    private static final int CHUNKS_PER_REPORT = 16;
    private static final long NANOS_PER_REPORT = 100_000_000L;

    private final Attempt attempt;
    private final LineSplitter splitter = new LineSplitter();
    private int lastReported;
    private long reportedAtNanos;

    EngineStreamReader(Attempt attempt) {
        this.attempt = attempt;
        this.lastReported = attempt.fromChunk();
    }

    @Override
    public void onComplete() {
        attempt.end(AttemptOutcome.BROKEN, Optional.empty());
    }

    @Override
    public void onError(Throwable failure) {
        attempt.end(AttemptOutcome.BROKEN, Optional.empty());
    }

    @Override
    public void onNext(ByteBuf bytes) {
        try {
            if (!attempt.ended()) {
                splitter.add(bytes).forEach(this::line);
            }
        } catch (IllegalArgumentException e) {
            mismatch();
        } finally {
            bytes.release();
        }
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        attempt.whenCancelled(subscription::cancel);
        subscription.request(Long.MAX_VALUE);
    }

    private void line(String line) {
        if (attempt.ended()) {
            return;
        }
        JsonNode json;
        try {
            json = Json.mapper().readTree(line);
        } catch (JsonProcessingException e) {
            mismatch();
            return;
        }
        String requestId = attempt.call().request().requestId();
        if (!json.path("request").asText().equals(requestId)) {
            mismatch();
        } else if (json.path("end").asBoolean(false)) {
            boolean whole = json.path("chunks").asInt(-1) == attempt.call().lastChunk();
            attempt.end(whole ? AttemptOutcome.COMPLETE : AttemptOutcome.MISMATCHED, Optional.empty());
        } else {
            chunk(json.path("chunk").asInt(-1), json.path("text"));
        }
    }

    private void chunk(int number, JsonNode text) {
        boolean valid = number > 0 && text.isTextual();
        if (!valid
                || attempt.call().addChunk(attempt.command().attemptId(), number, text.asText())
                        == ChunkResult.REJECTED) {
            mismatch();
            return;
        }
        report(number);
    }

    private void mismatch() {
        attempt.end(AttemptOutcome.MISMATCHED, Optional.empty());
        attempt.cancel();
    }

    private void report(int number) {
        long now = System.nanoTime();
        boolean first = lastReported == attempt.fromChunk();
        boolean due = number - lastReported >= CHUNKS_PER_REPORT || now - reportedAtNanos >= NANOS_PER_REPORT;
        if (first || due) {
            lastReported = number;
            reportedAtNanos = now;
            attempt.progressed();
        }
    }
}
