package org.lovagethread.core.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.error.ErrorKind;

/** Simulated caller with the request that it sent and the response that it received. */
final class FakeCaller {
    final String name;
    final CallKind kind;
    final String key;
    final String body;
    final int requestedTokens;
    final List<String> chunks = new ArrayList<>();
    FakeNode node;
    long callId;
    long deadlineMillis;
    boolean ended;
    boolean disconnected;
    boolean followsRedirects;
    Optional<String> answer = Optional.empty();
    Optional<ErrorKind> refusal = Optional.empty();

    FakeCaller(String name, CallKind kind, String key, String body, int tokens) {
        this.name = name;
        this.kind = kind;
        this.key = key;
        this.body = body;
        this.requestedTokens = tokens;
    }

    boolean isComplete() {
        if (kind != CallKind.GENERATE) {
            return answer.isPresent();
        }
        return ended && chunks.size() == requestedTokens;
    }

    /** Returns whether all chunks and responses received belong to this caller's request and are in order. */
    boolean hasOnlyOwnResponse() {
        for (int i = 0; i < chunks.size(); i++) {
            if (!chunks.get(i).equals(name + ":" + (i + 1))) {
                return false;
            }
        }
        return kind != CallKind.READ || answer.isEmpty() || answer.get().equals("answer to " + name);
    }
}
