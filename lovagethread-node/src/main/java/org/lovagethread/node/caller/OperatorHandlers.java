package org.lovagethread.node.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.status.NodeStatus;
import org.lovagethread.node.decision.TraceRecorder;
import org.lovagethread.node.duty.Ring;
import org.lovagethread.node.telemetry.Explanations;
import org.lovagethread.supplier.Json;
import org.lovagethread.supplier.trace.TraceFormat;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/** Answers operators, who show the operators' key. */
final class OperatorHandlers implements Action<Chain> {
    static final String KEY_HEADER = "X-Operator-Key";

    private static final int UNAUTHORIZED = 401;

    private final CallRegistry calls;
    private final Ring<Event> events;
    private final Explanations explanations;
    private final byte[] key;
    private final QueryRegistry queries;
    private final TraceRecorder recorder;
    private final TraceFormat.Header traceHeader;

    OperatorHandlers(
            String key,
            CallRegistry calls,
            QueryRegistry queries,
            Ring<Event> events,
            Explanations explanations,
            TraceRecorder recorder,
            TraceFormat.Header traceHeader) {
        this.key = key.getBytes(StandardCharsets.UTF_8);
        this.calls = calls;
        this.queries = queries;
        this.events = events;
        this.explanations = explanations;
        this.recorder = recorder;
        this.traceHeader = traceHeader;
    }

    @Override
    public void execute(Chain chain) throws Exception {
        chain.all(this::authenticate)
                .get("status", this::status)
                .get("explain/:request", this::explain)
                .get("trace", this::trace)
                .post("drain", this::drain);
    }

    private void authenticate(Context ctx) {
        String shown = ctx.getRequest().getHeaders().get(KEY_HEADER);
        boolean right = shown != null && MessageDigest.isEqual(key, shown.getBytes(StandardCharsets.UTF_8));
        if (right) {
            ctx.next();
        } else {
            ctx.getResponse().status(UNAUTHORIZED).send("application/json", "{\"error\":\"operator-key-required\"}");
        }
    }

    private void drain(Context ctx) {
        events.put(new Event.StopRequested());
        ctx.getResponse().send("application/json", "{\"draining\":true}");
    }

    private void explain(Context ctx) {
        send(ctx, explanations.of(ctx.getPathTokens().get("request")));
    }

    private void status(Context ctx) {
        long callId = calls.nextId();
        Promise.<Command>async(downstream -> {
                    queries.add(callId, downstream);
                    events.put(new Event.StatusAsked(callId));
                })
                .then(answer -> {
                    NodeStatus status = ((Command.AnswerStatus) answer).status();
                    send(ctx, status);
                });
    }

    private void trace(Context ctx) {
        ctx.getResponse().send("application/x-ndjson", TraceFormat.write(traceHeader, recorder.entries()));
    }

    private static void send(Context ctx, Object value) {
        try {
            ctx.getResponse().send("application/json", Json.mapper().writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a view cannot be written as JSON", e);
        }
    }
}
