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
import org.lovagethread.node.worker.MonotonicClock;
import org.lovagethread.node.worker.MpscQueue;
import org.lovagethread.node.worker.Worker;
import org.lovagethread.supplier.Json;
import ratpack.exec.ExecController;
import ratpack.exec.Execution;
import ratpack.func.Action;
import ratpack.http.MutableHeaders;
import ratpack.http.client.HttpClient;
import ratpack.http.client.ReceivedResponse;
import ratpack.http.client.RequestSpec;

/** Runs attempts on upstreams over HTTP, each on the event loop of its call. */
public final class UpstreamWorker implements Worker {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_RESPONSE_BYTES = 1_048_576;
    private static final int MIN_SUCCESS_STATUS = 200;
    private static final int MIN_REDIRECT_STATUS = 300;
    private static final int POOL_SIZE = 64;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final long POLL_TIMEOUT_MILLIS = 1_000;

    private final Map<Long, Attempt> attempts = new ConcurrentHashMap<>();
    private final CallRegistry calls;
    private final MonotonicClock clock;
    private final MpscQueue<Command> commands;
    private final ExecController controller;
    private final Consumer<Event> events;
    private final String nodeName;
    private final HttpClient pooledClient;
    private final HttpClient unpooledClient;

    /**
     * Creates the worker.
     *
     * @param nodeName the name of this node
     * @param controller executes the HTTP exchanges
     * @param calls the open calls
     * @param clock provides the current time
     * @param commands the queue of commands to start and cancel attempts
     * @param events receives the events about attempts
     * @throws Exception if the HTTP client cannot be created
     */
    public UpstreamWorker(
            String nodeName,
            ExecController controller,
            CallRegistry calls,
            MonotonicClock clock,
            MpscQueue<Command> commands,
            Consumer<Event> events)
            throws Exception {
        this.nodeName = nodeName;
        this.controller = controller;
        this.calls = calls;
        this.clock = clock;
        this.commands = commands;
        this.events = events;
        this.pooledClient = createClient(controller, POOL_SIZE);
        this.unpooledClient = createClient(controller, 0);
    }

    @Override
    public String name() {
        return "upstreams";
    }

    @Override
    public void runIteration() {
        Command command = commands.poll(POLL_TIMEOUT_MILLIS);
        if (command instanceof Command.StartAttempt start) {
            start(start);
        } else if (command instanceof Command.CancelAttempt cancel) {
            Attempt attempt = attempts.get(cancel.attemptId());
            if (attempt != null) {
                attempt.call().execute(attempt::cancel);
            }
        }
    }

    private static HttpClient createClient(ExecController controller, int poolSize) throws Exception {
        return HttpClient.of(spec -> spec.poolSize(poolSize)
                .maxContentLength(MAX_RESPONSE_BYTES)
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
                endedAttempt -> attempts.remove(endedAttempt.command().attemptId()));
        attempts.put(command.attemptId(), attempt);
        Action<Execution> exchange = command.kind() == CallKind.GENERATE
                ? execution -> sendGenerate(attempt)
                : execution -> sendPlain(attempt);
        call.get().execute(() -> controller
                .fork()
                .eventLoop(call.get().loop())
                .onError(attempt::fail)
                .start(exchange));
    }

    private void prepareRequest(RequestSpec spec, Attempt attempt) {
        long remainingMillis = attempt.command().deadlineMillis() - clock.millis();
        spec.readTimeout(Duration.ofMillis(Math.max(1, remainingMillis)));
        MutableHeaders headers = spec.getHeaders();
        headers.set("X-Request-Id", attempt.call().request().requestId());
        headers.set("X-Attempt-Id", nodeName + "-" + attempt.command().attemptId());
    }

    private void sendGenerate(Attempt attempt) {
        if (attempt.isEnded()) {
            return;
        }
        attempt.begin();
        URI uri = URI.create("http://" + attempt.command().address() + "/v1/generate");
        byte[] body = engineRequestBody(attempt);
        unpooledClient
                .requestStream(uri, spec -> {
                    prepareRequest(spec, attempt);
                    spec.post().body(content -> content.type("application/json").bytes(body));
                })
                .onError(attempt::fail)
                .then(response -> {
                    if (!isSuccessful(response.getStatus().getCode())) {
                        attempt.end(failureOutcome(response.getHeaders().get("X-Run")), Optional.empty());
                        attempt.setCancelAction(() -> {});
                        return;
                    }
                    response.getBody().subscribe(new EngineStreamReader(attempt));
                });
    }

    private static byte[] engineRequestBody(Attempt attempt) {
        CallRequest request = attempt.call().request();
        try {
            JsonNode callerBody =
                    Json.mapper().readTree(attempt.call().content().body());
            ObjectNode body = Json.mapper()
                    .createObjectNode()
                    .put("prompt", callerBody.path("prompt").asText())
                    .put("maxTokens", request.maxTokens())
                    .put("fromChunk", attempt.fromChunk())
                    .put("priority", attempt.command().priority());
            attempt.command().cacheSource().ifPresent(source -> body.put("cacheSource", source));
            return Json.mapper().writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("request body is not JSON although it was validated", e);
        }
    }

    private static AttemptOutcome failureOutcome(String runState) {
        return "not-run".equals(runState) ? AttemptOutcome.DECLINED : AttemptOutcome.FAILED;
    }

    private void sendPlain(Attempt attempt) {
        if (attempt.isEnded()) {
            return;
        }
        OpenCall call = attempt.call();
        URI uri = URI.create(
                "http://" + attempt.command().address() + "/" + call.content().target());
        HttpClient client = call.request().kind() == CallKind.READ ? pooledClient : unpooledClient;
        client.request(uri, spec -> {
                    prepareRequest(spec, attempt);
                    if (call.request().kind() == CallKind.SUBMIT) {
                        call.request().idempotencyKey().ifPresent(key -> spec.getHeaders()
                                .set("Idempotency-Key", key));
                        spec.post().body(content -> content.type(call.content().contentType())
                                .text(call.content().body()));
                    }
                })
                .onError(attempt::fail)
                .then(response -> onPlainResponse(attempt, response));
    }

    private static void onPlainResponse(Attempt attempt, ReceivedResponse response) {
        int status = response.getStatusCode();
        String runState = response.getHeaders().get("X-Run");
        if (status >= MIN_SERVER_ERROR_STATUS) {
            attempt.end(failureOutcome(runState), Optional.empty());
            return;
        }
        String requestId = response.getHeaders().get("X-Request-Id");
        if (!attempt.call().request().requestId().equals(requestId)) {
            attempt.end(AttemptOutcome.MISMATCHED, Optional.empty());
            return;
        }
        String type = response.getBody().getContentType().getType();
        StoredAnswer answer = new StoredAnswer(
                status,
                type == null ? "application/octet-stream" : type,
                response.getBody().getText());
        attempt.call().setAnswer(answer);
        boolean isSubmit = attempt.command().kind() == CallKind.SUBMIT;
        attempt.end(AttemptOutcome.COMPLETE, isSubmit ? Optional.of(answer) : Optional.empty());
    }

    private static boolean isSuccessful(int status) {
        return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
    }
}
