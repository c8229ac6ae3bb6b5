package org.lovagethread.node.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.lovagethread.core.call.AttemptOutcome;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.call.CallRequest;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.StoredAnswer;
import org.lovagethread.node.caller.CallRegistry;
import org.lovagethread.node.caller.OpenCall;
import org.lovagethread.node.duty.Duty;
import org.lovagethread.node.duty.NodeClock;
import org.lovagethread.node.duty.Ring;
import org.lovagethread.supplier.Json;
import ratpack.exec.ExecController;
import ratpack.exec.Execution;
import ratpack.func.Action;
import ratpack.http.MutableHeaders;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/** Carries out attempts at upstreams over HTTP, each on the event loop of its call. */
public final class UpstreamDuty implements Duty {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final int MOST_ANSWER_BYTES = 1_048_576;
    private static final int OK_FROM = 200;
    private static final int OK_UNTIL = 300;
    private static final int POOL_SIZE = 64;
    private static final int SERVER_ERROR = 500;
    private static final long WAIT_MILLIS = 1_000;

    private final Map<Long, Attempt> attempts = new ConcurrentHashMap<>();
    private final CallRegistry calls;
    private final NodeClock clock;
    private final Ring<Command> commands;
    private final ExecController controller;
    private final Consumer<Event> events;
    private final String node;
    private final HttpClient pooled;
    private final HttpClient unpooled;

    /**
     * Creates the duty.
     *
     * @param node the name of this node
     * @param controller runs the HTTP exchanges
     * @param calls finds the calls
     * @param clock tells the time
     * @param commands brings commands to start and cancel attempts
     * @param events takes the events about attempts
     * @throws Exception if the HTTP client cannot be created
     */
    public UpstreamDuty(
            String node,
            ExecController controller,
            CallRegistry calls,
            NodeClock clock,
            Ring<Command> commands,
            Consumer<Event> events)
            throws Exception {
        this.node = node;
        this.controller = controller;
        this.calls = calls;
        this.clock = clock;
        this.commands = commands;
        this.events = events;
        this.pooled = client(controller, POOL_SIZE);
        this.unpooled = client(controller, 0);
    }

    @Override
    public String name() {
        return "upstreams";
    }

    @Override
    public void step() {
        Command command = commands.take(WAIT_MILLIS);
        if (command instanceof Command.StartAttempt start) {
            start(start);
        } else if (command instanceof Command.CancelAttempt cancel) {
            Attempt attempt = attempts.get(cancel.attemptId());
            if (attempt != null) {
                attempt.call().run(attempt::cancel);
            }
        }
    }

    private static HttpClient client(ExecController controller, int poolSize) throws Exception {
        return HttpClient.of(spec -> spec.poolSize(poolSize)
                .maxContentLength(MOST_ANSWER_BYTES)
                .connectTimeout(CONNECT_TIMEOUT)
                .execController(controller));
    }

    private void start(Command.StartAttempt command) {
        Optional<OpenCall> call = calls.find(command.callId());
        if (call.isEmpty()) {
            events.accept(new Event.AttemptEnded(command.attemptId(), AttemptOutcome.NOT_SENT, 0, Optional.empty()));
            return;
        }
        Attempt attempt = new Attempt(
                call.get(),
                command,
                events,
                ended -> attempts.remove(ended.command().attemptId()));
        attempts.put(command.attemptId(), attempt);
        Action<Execution> exchange =
                command.kind() == CallKind.GENERATE ? execution -> generate(attempt) : execution -> plain(attempt);
        call.get().run(() -> controller
                .fork()
                .eventLoop(call.get().loop())
                .onError(attempt::fail)
                .start(exchange));
    }

    private void common(RequestSpec spec, Attempt attempt) {
        long leftMillis = attempt.command().deadlineMillis() - clock.millis();
        spec.readTimeout(Duration.ofMillis(Math.max(1, leftMillis)));
        MutableHeaders headers = spec.getHeaders();
        headers.set("X-Request-Id", attempt.call().request().requestId());
        headers.set("X-Attempt-Id", node + "-" + attempt.command().attemptId());
    }

    private void generate(Attempt attempt) {
        if (attempt.ended()) {
            return;
        }
        attempt.begin();
        URI uri = URI.create("http://" + attempt.command().address() + "/v1/generate");
        byte[] body = engineBody(attempt);
        unpooled.requestStream(uri, spec -> {
                    common(spec, attempt);
                    spec.post().body(content -> content.type("application/json").bytes(body));
                })
                .onError(attempt::fail)
                .then(response -> {
                    if (!successful(response.getStatus().getCode())) {
                        attempt.end(failure(response.getHeaders().get("X-Run")), Optional.empty());
                        attempt.whenCancelled(() -> {});
                        return;
                    }
                    response.getBody().subscribe(new EngineStreamReader(attempt));
                });
    }

    private static byte[] engineBody(Attempt attempt) {
        CallRequest request = attempt.call().request();
        try {
            JsonNode caller = Json.mapper().readTree(attempt.call().content().body());
            ObjectNode body = Json.mapper()
                    .createObjectNode()
                    .put("prompt", caller.path("prompt").asText())
                    .put("maxTokens", request.maxTokens())
                    .put("fromChunk", attempt.fromChunk())
                    .put("priority", attempt.command().priority());
            attempt.command().cacheSource().ifPresent(source -> body.put("cacheSource", source));
            return Json.mapper().writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the body was checked before", e);
        }
    }

    private static AttemptOutcome failure(String run) {
        return "not-run".equals(run) ? AttemptOutcome.DECLINED : AttemptOutcome.FAILED;
    }

    private void plain(Attempt attempt) {
        if (attempt.ended()) {
            return;
        }
        OpenCall call = attempt.call();
        URI uri = URI.create(
                "http://" + attempt.command().address() + "/" + call.content().target());
        HttpClient client = call.request().kind() == CallKind.READ ? pooled : unpooled;
        client.request(uri, spec -> {
                    common(spec, attempt);
                    if (call.request().kind() == CallKind.SUBMIT) {
                        call.request().idempotencyKey().ifPresent(key -> spec.getHeaders()
                                .set("Idempotency-Key", key));
                        spec.post().body(content -> content.type(call.content().contentType())
                                .text(call.content().body()));
                    }
                })
                .onError(attempt::fail)
                .then(response -> answered(attempt, response));
    }

    private static void answered(Attempt attempt, ReceivedResponse response) {
        int status = response.getStatusCode();
        String run = response.getHeaders().get("X-Run");
        if (status >= SERVER_ERROR) {
            attempt.end(failure(run), Optional.empty());
            return;
        }
        String identity = response.getHeaders().get("X-Request-Id");
        if (!attempt.call().request().requestId().equals(identity)) {
            attempt.end(AttemptOutcome.MISMATCHED, Optional.empty());
            return;
        }
        String type = response.getBody().getContentType().getType();
        StoredAnswer answer = new StoredAnswer(
                status,
                type == null ? "application/octet-stream" : type,
                response.getBody().getText());
        attempt.call().holdAnswer(answer);
        boolean submit = attempt.command().kind() == CallKind.SUBMIT;
        attempt.end(AttemptOutcome.COMPLETE, submit ? Optional.of(answer) : Optional.empty());
    }

    private static boolean successful(int status) {
        return status >= OK_FROM && status < OK_UNTIL;
    }
}
