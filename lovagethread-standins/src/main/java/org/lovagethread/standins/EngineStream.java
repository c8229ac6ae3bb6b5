package org.lovagethread.standins;

import java.util.Map;

/** State of one response stream of {@link Engine}. */
final class EngineStream {
    final Exchange exchange;
    final String requestId;
    final String attemptId;
    final String prompt;
    final int chunkCount;
    final int priority;
    final long arrivalSequence;
    int nextChunk;
    int remainingPrefillTokens;
    boolean importing;
    private boolean ended;

    EngineStream(
            Exchange exchange,
            String requestId,
            String attemptId,
            String prompt,
            int chunkCount,
            int fromChunk,
            int priority,
            long arrivalSequence) {
        this.exchange = exchange;
        this.requestId = requestId;
        this.attemptId = attemptId;
        this.prompt = prompt;
        this.chunkCount = chunkCount;
        this.nextChunk = fromChunk + 1;
        this.priority = priority;
        this.arrivalSequence = arrivalSequence;
    }

    /** Sends the next chunk, followed by the end marker if that chunk is the last one. */
    void sendNextChunk(String chunkRequestId) {
        if (nextChunk <= chunkCount) {
            exchange.sendStreamLine(Map.of(
                    "request", chunkRequestId, "chunk", nextChunk, "text", TokenGenerator.token(prompt, nextChunk)));
            nextChunk++;
        }
        if (nextChunk > chunkCount) {
            exchange.sendStreamLine(Map.of("request", chunkRequestId, "end", true, "chunks", chunkCount));
            exchange.endStream();
            ended = true;
        }
    }

    boolean isEnded() {
        return ended;
    }
}
