package org.lovagethread.node.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetAddress;
import java.util.concurrent.atomic.AtomicReference;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.core.event.Event;
import org.lovagethread.node.NodeKeys;
import org.lovagethread.node.decision.TraceRecorder;
import org.lovagethread.node.duty.NodeClock;
import org.lovagethread.node.duty.Ring;
import org.lovagethread.node.telemetry.Explanations;
import org.lovagethread.node.telemetry.NodeMetrics;
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

/** Serves callers and operators over HTTP. */
public final class CallerServer {
    private static final int THREADS = 2;

    private final CallRegistry calls;
    private final NodeClock clock;
    private final Ring<Command> commands;
    private final AtomicReference<ExecController> controller = new AtomicReference<>();
    private final Ring<Event> events;
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
     * @param operatorKey the key that operators show
     * @param calls holds the open calls
     * @param clock tells the time
     * @param events takes the events
     * @param commands brings the commands about callers
     * @param metrics takes measurements
     * @param explanations answers why
     * @param recorder holds the trace
     * @param traceHeader describes the core whose trace is recorded
     * @param readiness tells whether the node can serve
     * @throws Exception if the server cannot be created
     */
    public CallerServer(
            Settings settings,
            String operatorKey,
            CallRegistry calls,
            NodeClock clock,
            Ring<Event> events,
            Ring<Command> commands,
            NodeMetrics metrics,
            Explanations explanations,
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
        this.operators = new OperatorHandlers(operatorKey, calls, queries, events, explanations, recorder, traceHeader);
        this.server = create();
    }

    /**
     * Returns the controller that runs HTTP exchanges.
     *
     * @return the controller
     * @throws IllegalStateException if the server was not started
     */
    public ExecController controller() {
        ExecController started = controller.get();
        if (started == null) {
            throw new IllegalStateException("the server was not started");
        }
        return started;
    }

    /**
     * Creates the duty that carries out commands about callers.
     *
     * @return the duty
     */
    public CallerDuty duty() {
        return new CallerDuty(calls, queries, commands);
    }

    /**
     * Starts to serve.
     *
     * @throws Exception if the port cannot be used
     */
    public void start() throws Exception {
        server.start();
    }

    /**
     * Stops serving.
     *
     * @throws Exception if the server cannot be stopped
     */
    public void stop() throws Exception {
        server.stop();
    }

    private RatpackServer create() throws Exception {
        InetAddress host = InetAddress.getByName(settings.text(NodeKeys.HOST));
        int port = (int) settings.number(NodeKeys.CALLER_PORT);
        return RatpackServer.of(spec -> spec.serverConfig(config -> config.address(host)
                        .port(port)
                        .threads(THREADS)
                        .development(false)
                        .registerShutdownHook(false))
                .registryOf(registry -> registry.add(new ControllerCapture()))
                .handlers(routes()));
    }

    private Action<Chain> routes() {
        CallHandler callHandler = new CallHandler(
                calls,
                clock,
                events,
                metrics,
                settings.number(NodeKeys.DEFAULT_DEADLINE_MS),
                settings.number(NodeKeys.MOST_BODY_BYTES));
        return chain -> chain.get("healthz", ctx -> ctx.getResponse().send("application/json", "{\"ok\":true}"))
                .get("readyz", this::readyz)
                .get("metrics", ctx -> ctx.getResponse().send("text/plain; version=0.0.4", metrics.exposition()))
                .get("v1/address", this::address)
                .post("v1/services/:service/generate", callHandler)
                .path("v1/services/:service/calls/:operation:.+", callHandler)
                .prefix("v1/operator", operators);
    }

    private void address(Context ctx) {
        String service = ctx.getRequest().getQueryParams().get("service");
        String customer = ctx.getRequest().getQueryParams().get("customer");
        String session = ctx.getRequest().getQueryParams().get("session");
        if (service == null || customer == null) {
            ctx.getResponse()
                    .status(ErrorKind.BAD_REQUEST.status())
                    .send("application/json", Replies.errorLine(ErrorKind.BAD_REQUEST, 0));
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

    private void readyz(Context ctx) {
        String reason = readiness.reasonNotReady();
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
