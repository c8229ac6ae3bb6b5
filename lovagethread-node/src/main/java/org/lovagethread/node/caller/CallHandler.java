package org.lovagethread.node.caller;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.Optional;
import org.lovagethread.core.call.CallRequest;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.StoredAnswer;
import org.lovagethread.node.worker.MonotonicClock;
import org.lovagethread.node.worker.MpscQueue;
import ratpack.exec.Promise;
import ratpack.handling.Context;
import ratpack.handling.Handler;
import ratpack.http.Response;

/** Handles the HTTP requests of callers to services and sends the replies. */
final class CallHandler implements Handler {
    private static final long MILLIS_PER_SECOND = 1_000;

    private final CallRegistry calls;
    private final MonotonicClock clock;
    private final long defaultTimeoutMillis;
    private final MpscQueue<Event> events;
    private final CallMetrics metrics;
    private final long maxBodyBytes;

    CallHandler(
            CallRegistry calls,
            MonotonicClock clock,
            MpscQueue<Event> events,
            CallMetrics metrics,
            long defaultTimeoutMillis,
            long maxBodyBytes) {
        this.calls = calls;
        this.clock = clock;
        this.events = events;
        this.metrics = metrics;
        this.defaultTimeoutMillis = defaultTimeoutMillis;
        this.maxBodyBytes = maxBodyBytes;
    }

    @Override
    public void handle(Context ctx) {
        ctx.getRequest()
                .getBody(maxBodyBytes, () -> refuse(ctx, ErrorKind.BODY_TOO_LARGE, 0, ""))
                .then(body -> startCall(ctx, body.getText()));
    }

    private void startCall(Context ctx, String body) {
        long callId = calls.nextId();
        String method = ctx.getRequest().getMethod().getName();
        Either<String, CallRequest> parsed = parse(ctx, callId, method, body);
        if (parsed.isLeft()) {
            refuse(ctx, ErrorKind.BAD_REQUEST, 0, parsed.getLeft());
            return;
        }
        CallRequest request = parsed.get();
        CallContent content = new CallContent(method, target(ctx), body, contentType(ctx));
        EventLoop loop = ctx.getExecution().getEventLoop();
        OpenCall call = new OpenCall(request, content, loop, id -> events.put(new Event.CallerLeft(id)));
        long startedNanos = System.nanoTime();
        Promise.<CallerReply>async(downstream -> {
                    CallerConnection connection = new CallerConnection(downstream, loop);
                    register(ctx, call, connection);
                })
                .then(reply -> {
                    metrics.recordResponse(request, refusalOf(reply), System.nanoTime() - startedNanos);
                    sendReply(ctx, request, reply);
                });
    }

    private void register(Context ctx, OpenCall call, CallerConnection connection) {
        call.setConnection(connection, call.request().fromChunk());
        boolean accepted = calls.add(call);
        if (accepted) {
            accepted = events.offer(new Event.CallArrived(call.request()));
        }
        if (!accepted) {
            calls.remove(call.request().callId());
            connection.reply(new CallerReply.Refusal(ErrorKind.OVERLOADED, clock.millis() + MILLIS_PER_SECOND));
            return;
        }
        watchForDisconnect(ctx, call, connection);
    }

    private static String contentType(Context ctx) {
        String type = ctx.getRequest().getContentType().getType();
        return type == null ? "application/json" : type;
    }

    private Either<String, CallRequest> parse(Context ctx, long callId, String method, String body) {
        String service = ctx.getPathTokens().get("service");
        CallParser parser =
                new CallParser(ctx.getRequest().getHeaders(), service, clock.millis() + defaultTimeoutMillis);
        String target = target(ctx);
        return target.isEmpty() ? parser.parseGenerate(callId, body) : parser.parsePlain(callId, method, target, body);
    }

    private static void refuse(Context ctx, ErrorKind kind, long retryAtMillis, String detail) {
        if (!detail.isEmpty()) {
            ctx.getResponse().getHeaders().set("X-Error-Detail", detail.replaceAll("[^ -~]", "?"));
        }
        sendRefusal(ctx.getResponse(), new CallerReply.Refusal(kind, retryAtMillis));
    }

    private static Optional<ErrorKind> refusalOf(CallerReply reply) {
        return reply instanceof CallerReply.Refusal refusal ? Optional.of(refusal.kind()) : Optional.empty();
    }

    private static void sendReply(Context ctx, CallRequest request, CallerReply reply) {
        Response response = ctx.getResponse();
        response.getHeaders().set(CallParser.REQUEST_HEADER, request.requestId());
        if (reply instanceof CallerReply.Stream stream) {
            response.contentType("application/x-ndjson");
            response.sendStream(stream.lines());
        } else if (reply instanceof CallerReply.Answer answer) {
            StoredAnswer stored = answer.answer();
            response.status(stored.status()).contentType(stored.contentType()).send(stored.body());
        } else if (reply instanceof CallerReply.Refusal refusal) {
            sendRefusal(response, refusal);
        }
    }

    private static void sendRefusal(Response response, CallerReply.Refusal refusal) {
        response.getHeaders().set("X-Run", refusal.kind().runState().label());
        response.status(refusal.kind().status())
                .contentType("application/json")
                .send(ReplyFormatter.errorLine(refusal.kind(), refusal.retryAtMillis()));
    }

    /** Returns the path and query of a plain call, or an empty string for a model call. */
    private static String target(Context ctx) {
        String operation = ctx.getPathTokens().get("operation");
        if (operation == null) {
            return "";
        }
        String query = ctx.getRequest().getQuery();
        return operation + (query.isEmpty() ? "" : "?" + query);
    }

    private static void watchForDisconnect(Context ctx, OpenCall call, CallerConnection connection) {
        Channel channel = ctx.getDirectChannelAccess().getChannel();
        ChannelFutureListener listener = closed -> call.execute(() -> call.onDisconnect(connection));
        channel.closeFuture().addListener(listener);
        ctx.onClose(outcome -> channel.closeFuture().removeListener(listener));
    }
}
