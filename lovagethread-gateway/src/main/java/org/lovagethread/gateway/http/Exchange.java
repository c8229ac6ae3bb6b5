package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.config.Customer;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.RouteKind;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.policy.AttemptOutcome;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.policy.SilencePolicy;
import org.lovagethread.gateway.upstream.Upstream;

/**
 * Carries one request from its arrival to the end of its answer.
 *
 * <p>A request that may have run is sent again only if its route allows a second run. Refusals that state that a request
 * has not run are given only when that is certain.
 */
final class Exchange implements UpstreamClient.Listener {
    /** The most sends of one request, with those that certainly did not run. */
    private static final int MOST_SENDS = 3;

    /** Time left below which a request is not sent any more, in milliseconds. */
    private static final long LEAST_SEND_MILLIS = 25;

    /** The most bytes of an answer that is held until it is complete. */
    private static final int MOST_HELD_BYTES = 1 << 20;

    /** Ranks of a customer's priority for each rank of a route's. */
    private static final int CUSTOMER_RANK_STEP = 3;

    private static final int MOST_RANK = 9;

    private final RequestContext context;
    private final Caller caller;
    private final HttpRequest request;
    private final ByteBuf body;
    private final CallAttributes call;
    private final Route route;
    private final Optional<Customer> customer;
    private final ServiceSpec service;
    private final Placement.Demand demand;
    private final long startedMillis;
    private final long deadlineMillis;
    private final Set<String> tried = new HashSet<>();
    private final ExchangeRecord record;

    private Attempt attempt;
    private int sends;
    private int runs;
    private boolean done;
    private boolean streaming;
    private boolean counted;
    private long lastEventId;
    private boolean stalledByCaller;
    private Optional<HeldAnswer> failure = Optional.empty();

    /** One send and its answer so far. */
    private static final class Attempt {
        private final Upstream upstream;
        private final Placement.Choice choice;
        private final long sentMillis;
        private final long memoryTokens;
        private final EventSplitter events = new EventSplitter();
        private UpstreamClient.Send send;
        private HttpResponse head;
        private final ByteBuf held = Unpooled.buffer(0);
        private long lastBytesMillis;
        private boolean promptRead;
        private boolean ended;

        private Attempt(Placement.Choice choice, long memoryTokens, long nowMillis) {
            this.choice = choice;
            this.upstream = choice.upstream();
            this.memoryTokens = memoryTokens;
            this.sentMillis = nowMillis;
            this.lastBytesMillis = nowMillis;
        }
    }

    private record HeldAnswer(HttpResponse head, ByteBuf body) {}

    Exchange(RequestContext context, Caller caller, AdmittedRequest admitted, long nowMillis) {
        this.context = context;
        this.caller = caller;
        this.request = admitted.request();
        this.body = admitted.body();
        this.call = admitted.call();
        this.route = admitted.route();
        this.customer = admitted.customer();
        this.service = admitted.service();
        this.startedMillis = nowMillis;
        this.deadlineMillis =
                nowMillis + Math.min(call.waitMillis().orElse(route.timeoutMillis()), route.timeoutMillis());
        this.lastEventId = call.lastEventId().orElse(-1);
        this.demand = service.engine().isPresent()
                ? new Placement.Demand(call.prefix(), call.promptTokens().orElse(0), call.outputTokens())
                : Placement.Demand.PLAIN;
        this.record = new ExchangeRecord(admitted, nowMillis);
    }

    /** Sends the request for the first time. */
    void start() {
        context.retries().requested(service.name(), startedMillis);
        dispatch(startedMillis);
    }

    /** Ends the exchange because the caller has left. */
    void callerLeft() {
        if (!done) {
            finish("caller-left", context.nowMillis());
        }
    }

    /**
     * Lets the answer flow again after the caller has read what was sent.
     */
    void callerReadable() {
        if (stalledByCaller && attempt != null && attempt.send != null) {
            stalledByCaller = false;
            attempt.lastBytesMillis = context.nowMillis();
            attempt.send.reading(true);
        }
    }

    /**
     * Ends what has taken too long.
     *
     * @param nowMillis the present time in milliseconds
     */
    void tick(long nowMillis) {
        if (done) {
            return;
        }
        if (nowMillis >= deadlineMillis) {
            timedOut(nowMillis);
            return;
        }
        if (attempt != null && !stalledByCaller && route.repeatable() && silent(nowMillis)) {
            attempt.upstream.failureDetector().unreachable(nowMillis, SilencePolicy.AVOID_MILLIS);
            failed(AttemptOutcome.SILENT, "no bytes from the upstream", nowMillis);
        }
    }

    private boolean silent(long nowMillis) {
        long quiet = nowMillis - attempt.lastBytesMillis;
        boolean upstreamHeard = attempt.upstream.lastReceivedMillis() > attempt.lastBytesMillis;
        SilencePolicy policy = SilencePolicy.of(route, attempt.promptRead || streaming);
        return quiet > policy.limitMillis((long) attempt.choice.waitMillis(), upstreamHeard)
                && AttemptOutcome.SILENT.allowsAnother(route, runs + 1);
    }

    private void dispatch(long nowMillis) {
        long remaining = deadlineMillis - nowMillis;
        if (remaining < LEAST_SEND_MILLIS) {
            giveUp(AttemptOutcome.NOT_SENT, "no time left", nowMillis);
            return;
        }
        boolean trial = route.repeatable() && sends == 0;
        Optional<Placement.Choice> choice = context.placement()
                .choose(service, context.upstreams().available(service.name()), tried, demand, trial, nowMillis);
        if (choice.isEmpty()) {
            giveUp(AttemptOutcome.NOT_SENT, "no upstream", nowMillis);
            return;
        }
        if (sends == 0 && !context.admission().worthSending(route, choice.get(), remaining)) {
            record.weighed(choice.get(), context.upstreamsRevision(), nowMillis);
            refuse(ErrorKind.OVERLOADED, context.admission().retryAfterMillis(choice.get(), remaining), nowMillis);
            return;
        }
        send(choice.get(), remaining, nowMillis);
    }

    private void send(Placement.Choice choice, long remaining, long nowMillis) {
        Upstream upstream = choice.upstream();
        sends++;
        tried.add(upstream.entry().id());
        Attempt next = new Attempt(choice, demand.promptTokens() + (long) demand.outputTokens(), nowMillis);
        attempt = next;
        upstream.load().recordStart(choice.unreadTokens(), next.memoryTokens);
        context.placement().placed(demand, upstream);
        record.sent(upstream.entry(), (long) choice.waitMillis(), nowMillis);
        HttpHeaders headers = context.protocol()
                .upstreamHeaders(
                        request,
                        new CallerProtocol.SendAttributes(
                                upstream.entry(), customer.map(Customer::name), remaining, rank(), lastEventId));
        UpstreamClient.Send started = context.client()
                .send(upstream.entry(), request, headers, body, route.kind() == RouteKind.AT_MOST_ONCE, this);
        if (attempt == next) {
            next.send = started;
        }
    }

    private int rank() {
        int customerRank =
                customer.map(Customer::priority).filter(rank -> rank > 0).orElse(0);
        return Math.min(MOST_RANK, customerRank * CUSTOMER_RANK_STEP + route.priority());
    }

    @Override
    public void notSent() {
        if (attempt != null) {
            long now = context.nowMillis();
            attempt.upstream.failureDetector().unreachable(now, SilencePolicy.AVOID_MILLIS);
            failed(AttemptOutcome.NOT_SENT, "no connection", now);
        }
    }

    @Override
    public void head(HttpResponse response) {
        heard();
        attempt.head = response;
    }

    @Override
    public void data(ByteBuf bytes) {
        heard();
        if (streamAnswer()) {
            attempt.events.feed(bytes, this::event);
            if (attempt != null && attempt.events.overflowed()) {
                failed(AttemptOutcome.BROKEN, "an event is too long", context.nowMillis());
            }
            return;
        }
        if (attempt.held.readableBytes() + bytes.readableBytes() > MOST_HELD_BYTES) {
            failed(AttemptOutcome.BROKEN, "the answer is too long", context.nowMillis());
            return;
        }
        attempt.held.writeBytes(bytes);
    }

    @Override
    public void end() {
        heard();
        long now = context.nowMillis();
        attempt.ended = true;
        if (streamAnswer()) {
            endStream(now);
        } else if (context.protocol().notRun(attempt.head)) {
            attempt.upstream.failureDetector().observed(false, now);
            failed(
                    AttemptOutcome.REJECTED,
                    "rejected with " + attempt.head.status().code(),
                    now);
        } else if (success(attempt.head) && proof(attempt.head).isEmpty()) {
            failed(AttemptOutcome.BROKEN, "an answer without proof of its origin", now);
        } else if (attempt.head.status().code() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
            failure = Optional.of(new HeldAnswer(attempt.head, attempt.held));
            attempt.upstream.failureDetector().observed(false, now);
            failed(
                    AttemptOutcome.FAILED,
                    "answered with " + attempt.head.status().code(),
                    now);
        } else {
            wholeAnswer(now);
        }
    }

    @Override
    public void broken(String reason) {
        if (attempt != null) {
            attempt.ended = true;
            long now = context.nowMillis();
            attempt.upstream.failureDetector().observed(false, now);
            failed(AttemptOutcome.BROKEN, reason, now);
        }
    }

    private void wholeAnswer(long nowMillis) {
        if (success(attempt.head)) {
            attempt.upstream.failureDetector().observed(true, nowMillis);
            attempt.upstream.recordResponseTime((double) (nowMillis - attempt.sentMillis));
        }
        countRun();
        caller.answer(attempt.head.status(), attempt.head.headers(), attempt.held);
        finish(success(attempt.head) ? "answered" : "upstream-status", nowMillis);
    }

    private void event(long id, ByteBuf event) {
        if (done || attempt == null) {
            return;
        }
        if (id >= 0 && id <= lastEventId) {
            return;
        }
        if (streaming && id >= 0 && lastEventId >= 0 && id != lastEventId + 1) {
            failed(AttemptOutcome.BROKEN, "event " + id + " after " + lastEventId, context.nowMillis());
            return;
        }
        long now = context.nowMillis();
        if (!attempt.promptRead) {
            firstEvent(now);
        }
        if (!streaming) {
            streaming = true;
            record.firstEvent(now);
            caller.startStream(attempt.head.status(), attempt.head.headers());
        }
        lastEventId = id >= 0 ? id : lastEventId;
        if (!caller.streamData(event) && attempt != null && attempt.send != null) {
            stalledByCaller = true;
            attempt.send.reading(false);
        }
    }

    private void firstEvent(long nowMillis) {
        attempt.promptRead = true;
        attempt.upstream.load().recordFirstEvent(attempt.choice.unreadTokens());
        attempt.upstream.recordResponseTime((double) (nowMillis - attempt.sentMillis));
        countRun();
    }

    private void endStream(long nowMillis) {
        if (attempt.events.partial()) {
            failed(AttemptOutcome.BROKEN, "the stream ended within an event", nowMillis);
            return;
        }
        attempt.upstream.failureDetector().observed(true, nowMillis);
        if (!streaming) {
            streaming = true;
            countRun();
            caller.startStream(attempt.head.status(), attempt.head.headers());
        }
        caller.endStream();
        finish("answered", nowMillis);
    }

    private void countRun() {
        if (!counted) {
            counted = true;
            customer.ifPresent(owner -> context.usage().began(owner.name()));
        }
    }

    /** Decides what follows a send that failed. */
    private void failed(AttemptOutcome outcome, String reason, long nowMillis) {
        runs += outcome.mayHaveRun() ? 1 : 0;
        record.failed(outcome, reason, nowMillis);
        release();
        boolean another = sends < MOST_SENDS
                && outcome.allowsAnother(route, runs)
                && deadlineMillis - nowMillis >= LEAST_SEND_MILLIS
                && context.anotherUpstream(service.name(), tried)
                && (!outcome.arrived() || context.retries().tryTake(service.name(), context.gateways(), nowMillis));
        if (another) {
            failure = Optional.empty();
            dispatch(nowMillis);
        } else {
            giveUp(outcome, reason, nowMillis);
        }
    }

    private void giveUp(AttemptOutcome outcome, String reason, long nowMillis) {
        record.gaveUp(reason);
        if (streaming) {
            caller.abort();
            finish("stream-cut", nowMillis);
        } else if (failure.isPresent() && proof(failure.get().head()).isPresent()) {
            countRun();
            caller.answer(
                    failure.get().head().status(),
                    failure.get().head().headers(),
                    failure.get().body());
            finish("upstream-failure", nowMillis);
        } else if (runs > 0) {
            refuse(outcome.mayHaveRun() ? outcome.errorKind() : ErrorKind.UPSTREAM_FAILED, 0, nowMillis);
        } else {
            refuse(outcome.errorKind(), context.admission().idleRetryMillis(deadlineMillis - nowMillis), nowMillis);
        }
    }

    private void timedOut(long nowMillis) {
        record.gaveUp("deadline");
        boolean sent = attempt != null || runs > 0;
        if (attempt != null) {
            attempt.upstream.failureDetector().observed(false, nowMillis);
        }
        if (streaming) {
            caller.abort();
            finish("stream-cut", nowMillis);
        } else {
            refuse(sent ? ErrorKind.DEADLINE_AFTER_SEND : ErrorKind.OVERLOADED, 0, nowMillis);
        }
    }

    private void refuse(ErrorKind kind, long retryAfterMillis, long nowMillis) {
        if (runs == 0 && attempt == null) {
            customer.ifPresent(owner -> context.quota().refund(owner.name(), context.tokens(call, owner)));
        }
        caller.refuse(kind, retryAfterMillis);
        finish(kind.label(), nowMillis);
    }

    private void finish(String outcome, long nowMillis) {
        done = true;
        release();
        record.ended(outcome, nowMillis);
        context.ended(this, record);
    }

    /** Gives back what the present send holds, and closes its connection unless the answer is complete. */
    private void release() {
        Attempt last = attempt;
        if (last == null) {
            return;
        }
        attempt = null;
        stalledByCaller = false;
        last.upstream.load().recordEnd(last.promptRead, last.choice.unreadTokens(), last.memoryTokens);
        if (!last.ended && last.send != null) {
            last.send.cancel();
        }
    }

    private void heard() {
        long now = context.nowMillis();
        attempt.lastBytesMillis = now;
        attempt.upstream.recordReceived(now);
    }

    private Optional<String> proof(HttpResponse head) {
        return context.protocol().proof(head.headers());
    }

    private boolean streamAnswer() {
        return route.streaming() && success(attempt.head) && proof(attempt.head).isPresent();
    }

    private static boolean success(HttpResponse head) {
        int code = head.status().code();
        return code >= HttpResponseStatus.OK.code() && code < HttpResponseStatus.MULTIPLE_CHOICES.code();
    }
}
