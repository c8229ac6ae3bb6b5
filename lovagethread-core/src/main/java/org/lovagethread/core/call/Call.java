package org.lovagethread.core.call;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lovagethread.core.store.Claim;
import org.lovagethread.core.store.StoredAnswer;

/** State of a call. */
final class Call {
    final CallRequest request;
    final List<Attempt> attempts = new ArrayList<>();
    final Set<String> failedUpstreams = new HashSet<>();
    CallPhase phase = CallPhase.WAITING;
    int attemptCount;
    int lastChunk;
    boolean mayHaveRun;
    boolean responseEnded;
    boolean callerConnected = true;
    long waitDeadlineMillis;
    long evictAtMillis;
    int handOverAttempts;
    String successorAddress = "";

    /** The claim that this call last wrote or is about to write. */
    Claim claim;

    long claimVersion;
    long pendingOperationId;
    boolean claimWriteUncertain;
    long recordDeadlineMillis;
    long responseReleaseDeadlineMillis;
    long nextRetryMillis;
    StoredAnswer answer;

    Call(CallRequest request) {
        this.request = request;
        this.lastChunk = request.fromChunk();
    }

    long id() {
        return request.callId();
    }

    /** Returns the most recently started attempt, the only one that may append to the stream. */
    Optional<Attempt> latestAttempt() {
        return attempts.isEmpty() ? Optional.empty() : Optional.of(attempts.get(attempts.size() - 1));
    }

    /** Returns the key by which a reconnecting caller's request is matched to its stream. */
    String streamKey() {
        return request.customer() + '\n' + request.service() + '\n' + request.requestId() + '\n' + request.bodyDigest();
    }

    /** Returns the name of the claim object in the store. */
    String claimKey() {
        return request.customer()
                + '/'
                + request.service()
                + '/'
                + request.idempotencyKey().orElse("");
    }
}
