package org.lovagethread.node.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetAddress;
import java.util.concurrent.atomic.AtomicReference;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.core.event.Event;
import org.lovagethread.node.NodeSettingKeys;
import org.lovagethread.node.decision.TraceRecorder;
import org.lovagethread.node.telemetry.DecisionHistory;
import org.lovagethread.node.telemetry.NodeMetrics;
import org.lovagethread.node.worker.MonotonicClock;
import org.lovagethread.node.worker.MpscQueue;
import org.lovagethread.supplier.Json;
import org.lovagethread.supplier.settings.Settings;
import org.lovagethread.supplier.trace.TraceFormat;
import ratpack.exec.ExecController;
import ratpack.exec.Promise;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.server.RatpackServer;
import ratpack.service.Service;
import ratpack.service.StartEvent;

/** The HTTP server for callers and operators. */
public final class CallerServer {
    private static final int EVENT_LOOP_THREADS = 2;

    private final CallRegistry calls;
    private final MonotonicClock clock;
    private final MpscQueue<Command> commands;
    private final AtomicReference<ExecController> controller = new AtomicReference<>();
    private final MpscQueue<Event> events;
    private final NodeMetrics metrics;
    private final OperatorHandlers operators;
    private final QueryRegistry queries = new QueryRegistry();
    private final Readiness readiness;
    private final RatpackServer server;
    private final Settings settings;

    /**
     * Creates the server without starting it.
     *
     * @param settings the settings of the node
     * @param operatorKey the key with which operators authenticate
     * @param calls the open calls
     * @param clock provides the current time
     * @param events receives the events
     * @param commands the queue of commands that concern callers
     * @param metrics records measurements
     * @param decisionHistory provides the decisions about recent requests
     * @param recorder provides the recorded events
     * @param traceHeader the header of the trace, which describes the core
     * @param readiness reports whether the node can serve callers
     * @throws Exception if the server cannot be created
     */
    public CallerServer(
            Settings settings,
            String operatorKey,
            CallRegistry calls,
            MonotonicClock clock,
            MpscQueue<Event> events,
            MpscQueue<Command> commands,
            NodeMetrics metrics,
            DecisionHistory decisionHistory,
            TraceRecorder recorder,
            TraceFormat.Header traceHeader,
            Readiness readiness)
            throws Exception {
        this.settings = settings;
        this.calls = calls;
        this.clock = clock;
        this.events = events;
        this.commands = commands;
        this.metrics = metrics;
        this.readiness = readiness;
        this.operators =
                new OperatorHandlers(operatorKey, calls, queries, events, decisionHistory, recorder, traceHeader);
        this.server = createServer();
    }

    /**
     * Returns the controller that runs HTTP exchanges.
     *
     * @return the controller
     * @throws IllegalStateException if the server has not been started
     */
    public ExecController controller() {
        ExecController started = controller.get();
        if (started == null) {
            throw new IllegalStateException("server has not been started");
        }
        return started;
    }

    /**
     * Creates the worker that executes the commands that concern callers.
     *
     * @return the worker
     */
    public CallerWorker createWorker() {
        return new CallerWorker(calls, queries, commands);
    }

    /**
     * Starts the server.
     *
     * @throws Exception if the port cannot be bound
     */
    public void start() throws Exception {
        server.start();
    }

    /**
     * Stops the server.
     *
     * @throws Exception if the server cannot be stopped
     */
    public void stop() throws Exception {
        server.stop();
    }

    private RatpackServer createServer() throws Exception {
        InetAddress host = InetAddress.getByName(settings.text(NodeSettingKeys.HOST));
        int port = (int) settings.number(NodeSettingKeys.CALLER_PORT);
        return RatpackServer.of(spec -> spec.serverConfig(config -> config.address(host)
                        .port(port)
                        .threads(EVENT_LOOP_THREADS)
                        .development(false)
                        .registerShutdownHook(false))
                .registryOf(registry -> registry.add(new ControllerCapture()))
                .handlers(createRoutes()));
    }

    private Action<Chain> createRoutes() {
        CallHandler callHandler = new CallHandler(
                calls,
                clock,
                events,
                metrics,
                settings.number(NodeSettingKeys.DEFAULT_DEADLINE_MS),
                settings.number(NodeSettingKeys.MAX_BODY_BYTES));
        return chain -> chain.get("healthz", ctx -> ctx.getResponse().send("application/json", "{\"ok\":true}"))
                .get("readyz", this::handleReadiness)
                .get("metrics", ctx -> ctx.getResponse().send("text/plain; version=0.0.4", metrics.exposition()))
                .get("v1/address", this::handleAddress)
                .post("v1/services/:service/generate", callHandler)
                .path("v1/services/:service/calls/:operation:.+", callHandler)
                .prefix("v1/operator", operators);
    }

    private void handleAddress(Context ctx) {
        String service = ctx.getRequest().getQueryParams().get("service");
        String customer = ctx.getRequest().getQueryParams().get("customer");
        String session = ctx.getRequest().getQueryParams().get("session");
        if (service == null || customer == null) {
            ctx.getResponse()
                    .status(ErrorKind.BAD_REQUEST.status())
                    .send("application/json", ReplyFormatter.errorLine(ErrorKind.BAD_REQUEST, 0));
            return;
        }
        long callId = calls.nextId();
        Promise.<Command>async(downstream -> {
                    queries.add(callId, downstream);
                    events.put(new Event.AddressAsked(callId, service, customer, session == null ? "" : session));
                })
                .then(answer -> sendAddress(ctx, (Command.AnswerAddress) answer));
    }

    private static void sendAddress(Context ctx, Command.AnswerAddress answer) throws Exception {
        ObjectNode body = Json.mapper().createObjectNode();
        answer.addresses().forEach(body.putArray("addresses")::add);
        body.put("notAfterMillis", answer.notAfterMillis());
        int status = answer.addresses().isEmpty() ? ErrorKind.NOT_READY.status() : 200;
        ctx.getResponse().status(status).send("application/json", Json.mapper().writeValueAsString(body));
    }

    private void handleReadiness(Context ctx) {
        String reason = readiness.notReadyReason();
        int status = reason.isEmpty() ? 200 : ErrorKind.NOT_READY.status();
        String body = reason.isEmpty() ? "{\"ready\":true}" : "{\"ready\":false,\"reason\":\"" + reason + "\"}";
        ctx.getResponse().status(status).send("application/json", body);
    }

    private final class ControllerCapture implements Service {
        @Override
        public void onStart(StartEvent event) {
            controller.set(event.getRegistry().get(ExecController.class));
        }
    }
}
