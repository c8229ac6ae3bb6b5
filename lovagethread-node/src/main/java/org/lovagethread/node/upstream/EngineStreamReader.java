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
 * Reads the response stream of an engine and accepts only chunks that belong to the call and arrive in order.
 *
 * <p>A response is complete only if the end marker has arrived and its chunk count matches the chunks received.
 */
final class EngineStreamReader implements Subscriber<ByteBuf> {
    private static final int REPORT_INTERVAL_CHUNKS = 16;
    private static final long REPORT_INTERVAL_NANOS = 100_000_000L;

    private final Attempt attempt;
    private final LineSplitter splitter = new LineSplitter();
    private int lastReportedChunk;
    private long lastReportNanos;

    EngineStreamReader(Attempt attempt) {
        this.attempt = attempt;
        this.lastReportedChunk = attempt.fromChunk();
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
            if (!attempt.isEnded()) {
                splitter.add(bytes).forEach(this::processLine);
            }
        } catch (IllegalArgumentException e) {
            endMismatched();
        } finally {
            bytes.release();
        }
    }

    @Override
    public void onSubscribe(Subscription subscription) {
        attempt.setCancelAction(subscription::cancel);
        subscription.request(Long.MAX_VALUE);
    }

    private void processLine(String line) {
        if (attempt.isEnded()) {
            return;
        }
        JsonNode json;
        try {
            json = Json.mapper().readTree(line);
        } catch (JsonProcessingException e) {
            endMismatched();
            return;
        }
        String requestId = attempt.call().request().requestId();
        if (!json.path("request").asText().equals(requestId)) {
            endMismatched();
        } else if (json.path("end").asBoolean(false)) {
            boolean isComplete = json.path("chunks").asInt(-1) == attempt.call().lastChunk();
            attempt.end(isComplete ? AttemptOutcome.COMPLETE : AttemptOutcome.MISMATCHED, Optional.empty());
        } else {
            processChunk(json.path("chunk").asInt(-1), json.path("text"));
        }
    }

    private void processChunk(int number, JsonNode text) {
        boolean isValid = number > 0 && text.isTextual();
        if (!isValid
                || attempt.call().addChunk(attempt.command().attemptId(), number, text.asText())
                        == ChunkResult.REJECTED) {
            endMismatched();
            return;
        }
        reportProgress(number);
    }

    private void endMismatched() {
        attempt.end(AttemptOutcome.MISMATCHED, Optional.empty());
        attempt.cancel();
    }

    private void reportProgress(int number) {
        long nowNanos = System.nanoTime();
        boolean isFirst = lastReportedChunk == attempt.fromChunk();
        boolean isDue = number - lastReportedChunk >= REPORT_INTERVAL_CHUNKS
                || nowNanos - lastReportNanos >= REPORT_INTERVAL_NANOS;
        if (isFirst || isDue) {
            lastReportedChunk = number;
            lastReportNanos = nowNanos;
            attempt.reportProgress();
        }
    }
}
