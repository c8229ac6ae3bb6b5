package org.lovagethread.standins;

import java.util.Map;

/** Holds one stream of an engine stand-in. */
final class EngineStream {
    final Exchange exchange;
    final String request;
    final String attempt;
    final String prompt;
    final int chunks;
    final int priority;
    final long arrival;
    int nextChunk;
    int prefillLeft;
    boolean importing;
    private boolean ended;

    EngineStream(
            Exchange exchange,
            String request,
            String attempt,
            String prompt,
            int chunks,
            int fromChunk,
            int priority,
            long arrival) {
        this.exchange = exchange;
        this.request = request;
        this.attempt = attempt;
        this.prompt = prompt;
        this.chunks = chunks;
        this.nextChunk = fromChunk + 1;
        this.priority = priority;
        this.arrival = arrival;
    }

    /** Sends the next chunk, or the end marker after the last one. */
    void step(String identity) {
        if (nextChunk <= chunks) {
            exchange.streamLine(
                    Map.of("request", identity, "chunk", nextChunk, "text", Tokens.token(prompt, nextChunk)));
            nextChunk++;
        }
        if (nextChunk > chunks) {
            exchange.streamLine(Map.of("request", identity, "end", true, "chunks", chunks));
            exchange.endStream();
            ended = true;
        }
    }

    boolean done() {
        return ended;
    }
}
