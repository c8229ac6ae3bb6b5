package org.lovagethread.node.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.status.NodeStatus;
import org.lovagethread.node.decision.TraceRecorder;
import org.lovagethread.node.telemetry.DecisionHistory;
import org.lovagethread.node.worker.MpscQueue;
import org.lovagethread.supplier.Json;
import org.lovagethread.supplier.trace.TraceFormat;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/** Handles the HTTP requests of operators, who authenticate with the operator key. */
final class OperatorHandlers implements Action<Chain> {
    static final String KEY_HEADER = "X-Operator-Key";

    private static final int UNAUTHORIZED = 401;

    private final CallRegistry calls;
    private final MpscQueue<Event> events;
    private final DecisionHistory decisionHistory;
    private final byte[] operatorKey;
    private final QueryRegistry queries;
    private final TraceRecorder recorder;
    private final TraceFormat.Header traceHeader;

    OperatorHandlers(
            String operatorKey,
            CallRegistry calls,
            QueryRegistry queries,
            MpscQueue<Event> events,
            DecisionHistory decisionHistory,
            TraceRecorder recorder,
            TraceFormat.Header traceHeader) {
        this.operatorKey = operatorKey.getBytes(StandardCharsets.UTF_8);
        this.calls = calls;
        this.queries = queries;
        this.events = events;
        this.decisionHistory = decisionHistory;
        this.recorder = recorder;
        this.traceHeader = traceHeader;
    }

    @Override
    public void execute(Chain chain) throws Exception {
        chain.all(this::authenticate)
                .get("status", this::handleStatus)
                .get("explain/:request", this::handleExplain)
                .get("trace", this::handleTrace)
                .post("drain", this::handleDrain);
    }

    private void authenticate(Context ctx) {
        String presentedKey = ctx.getRequest().getHeaders().get(KEY_HEADER);
        boolean isAuthorized = presentedKey != null
                && MessageDigest.isEqual(operatorKey, presentedKey.getBytes(StandardCharsets.UTF_8));
        if (isAuthorized) {
            ctx.next();
        } else {
            ctx.getResponse().status(UNAUTHORIZED).send("application/json", "{\"error\":\"operator-key-required\"}");
        }
    }

    private void handleDrain(Context ctx) {
        events.put(new Event.StopRequested());
        ctx.getResponse().send("application/json", "{\"draining\":true}");
    }

    private void handleExplain(Context ctx) {
        sendJson(ctx, decisionHistory.decisionsFor(ctx.getPathTokens().get("request")));
    }

    private void handleStatus(Context ctx) {
        long callId = calls.nextId();
        Promise.<Command>async(downstream -> {
                    queries.add(callId, downstream);
                    events.put(new Event.StatusAsked(callId));
                })
                .then(answer -> {
                    NodeStatus status = ((Command.AnswerStatus) answer).status();
                    sendJson(ctx, status);
                });
    }

    private void handleTrace(Context ctx) {
        ctx.getResponse().send("application/x-ndjson", TraceFormat.write(traceHeader, recorder.entries()));
    }

    private static void sendJson(Context ctx, Object value) {
        try {
            ctx.getResponse().send("application/json", Json.mapper().writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize the response body as JSON", e);
        }
    }
}
