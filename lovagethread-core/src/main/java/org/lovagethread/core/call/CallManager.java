package org.lovagethread.core.call;

import java.util.List;
import java.util.Optional;
import java.util.function.BiPredicate;
import java.util.function.Supplier;
import org.lovagethread.core.CoreSettings;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.command.DecisionKind;
import org.lovagethread.core.command.Outbox;
import org.lovagethread.core.config.Configuration;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.limit.CustomerLimits;
import org.lovagethread.core.limit.RetryBudget;
import org.lovagethread.core.member.LeavingUpstream;
import org.lovagethread.core.member.MemberTable;
import org.lovagethread.core.upstream.Router;
import org.lovagethread.core.upstream.UpstreamTable;

/** Dispatches call events to the state machine that is responsible for the call. */
public final class CallManager {
    private final Admission admission;
    private final RetryBudget retryBudget = new RetryBudget();
    private final Supplier<Optional<Configuration>> configuration;
    private final Dispatcher dispatcher;
    private final HandOverHandler handOverHandler;
    private final Outbox outbox;
    private final ReclaimPlanner reclaimPlanner;
    private final IdempotentCallHandler idempotentCalls;
    private final NonIdempotentCallHandler nonIdempotentCalls;
    private final CallTable table = new CallTable();

    /**
     * Creates the state machines with an empty call table.
     *
     * @param settings the settings of the node
     * @param configuration supplies the active configuration
     * @param limits the customers' rate limits
     * @param router selects upstreams
     * @param upstreams the known upstreams
     * @param members the peer nodes
     * @param hasOwnerFailed returns whether the node that owns a claim has failed or restarted, given the token of
     *     the claim and the current time
     * @param outbox receives the commands
     */
    public CallManager(
            CoreSettings settings,
            Supplier<Optional<Configuration>> configuration,
            CustomerLimits limits,
            Router router,
            UpstreamTable upstreams,
            MemberTable members,
            BiPredicate<String, Long> hasOwnerFailed,
            Outbox outbox) {
        this.configuration = configuration;
        this.outbox = outbox;
        admission = new Admission(limits);
        dispatcher = new Dispatcher(configuration, outbox, router, table, upstreams);
        reclaimPlanner = new ReclaimPlanner(settings.reclaimPolicy(), dispatcher, table);
        idempotentCalls = new IdempotentCallHandler(retryBudget, dispatcher, outbox, table);
        handOverHandler = new HandOverHandler(dispatcher, members, outbox, idempotentCalls, table);
        nonIdempotentCalls = new NonIdempotentCallHandler(settings, dispatcher, outbox, table, hasOwnerFailed);
    }

    /**
     * Handles a stream offered by a peer that is shutting down.
     *
     * @param event the offer
     * @param selfStopping whether this node is shutting down as well
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void onCallAdopted(Event.CallAdopted event, boolean selfStopping, long nowMillis) {
        if (selfStopping || configuration.get().isEmpty()) {
            outbox.add(new Command.AnswerAdoption(event.request().callId(), false));
            return;
        }
        Call call = new Call(event.request());
        table.add(call);
        idempotentCalls.adopt(call, event.heldChunks(), nowMillis);
    }

    /**
     * Offers unfinished streams to peers.
     *
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void handOverStreams(long nowMillis) {
        handOverHandler.offerStreams(nowMillis);
    }

    /**
     * Handles a peer's reply to an offered stream.
     *
     * @param event the reply
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void onHandOverReplied(Event.HandOverReplied event, long nowMillis) {
        table.call(event.callId()).ifPresent(call -> handOverHandler.onReply(call, event.accepted(), nowMillis));
    }

    /**
     * Handles a new call.
     *
     * @param request the call
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void onCallArrived(CallRequest request, long nowMillis) {
        Call call = new Call(request);
        Optional<Call> existing =
                request.kind() == CallKind.GENERATE ? table.callByStreamKey(call.streamKey()) : Optional.empty();
        if (existing.isPresent()) {
            idempotentCalls.attach(request.callId(), existing.get(), request.fromChunk());
            return;
        }
        Optional<Admission.Refusal> refusal = admission.check(configuration.get(), request, nowMillis);
        if (refusal.isPresent()) {
            dispatcher.refuse(call, refusal.get().kind(), refusal.get().retryAtMillis(), nowMillis);
            outbox.add(new Command.ForgetCall(call.id()));
            return;
        }
        retryBudget.recordCall();
        table.add(call);
        dispatcher.recordDecision(call, DecisionKind.ADMITTED, request.kind().name());
        if (request.kind() == CallKind.SUBMIT) {
            nonIdempotentCalls.start(call, nowMillis);
        } else {
            idempotentCalls.start(call, nowMillis);
        }
    }

    /**
     * Handles the end of an attempt. Events for attempts that are no longer in flight are ignored.
     *
     * @param event the event
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void onAttemptEnded(Event.AttemptEnded event, long nowMillis) {
        Optional<Attempt> attempt = table.attempt(event.attemptId());
        if (attempt.isEmpty()) {
            return;
        }
        Call call = table.call(attempt.get().callId).orElseThrow();
        if (call.request.kind() == CallKind.SUBMIT) {
            nonIdempotentCalls.onAttemptEnded(call, attempt.get(), event, nowMillis);
        } else {
            idempotentCalls.onAttemptEnded(call, attempt.get(), event.outcome(), event.lastChunk(), nowMillis);
        }
    }

    /**
     * Handles progress of an attempt.
     *
     * @param event the event
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void onAttemptProgressed(Event.AttemptProgressed event, long nowMillis) {
        Optional<Attempt> attempt = table.attempt(event.attemptId());
        if (attempt.isPresent()) {
            Call call = table.call(attempt.get().callId).orElseThrow();
            idempotentCalls.onAttemptProgressed(call, attempt.get(), event.lastChunk(), nowMillis);
        }
    }

    /**
     * Handles the disconnection of a caller.
     *
     * @param callId the identifier of the call
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void onCallerLeft(long callId, long nowMillis) {
        Optional<Call> call = table.call(callId);
        if (call.isPresent() && call.get().request.kind() != CallKind.SUBMIT) {
            idempotentCalls.onCallerLeft(call.get(), nowMillis);
        }
    }

    /**
     * Handles the result of an operation on a claim.
     *
     * @param reply the result
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void onClaimReplied(Event.ClaimReplied reply, long nowMillis) {
        table.completeOperation(reply.operationId())
                .ifPresent(call -> nonIdempotentCalls.onClaimReplied(call, reply, nowMillis));
    }

    /**
     * Processes the calls whose timers have expired.
     *
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void onTick(long nowMillis) {
        for (Call call : table.pollDue(nowMillis)) {
            onTimer(call, nowMillis);
        }
    }

    /**
     * Returns the number of calls that have not ended.
     *
     * @return the number of calls
     */
    public int unfinishedCount() {
        return table.unfinishedCount();
    }

    /**
     * Handles a notice that upstreams are leaving.
     *
     * @param leaving the leaving upstreams and their deadlines
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void onUpstreamsLeaving(List<LeavingUpstream> leaving, long nowMillis) {
        for (LeavingUpstream upstream : leaving) {
            reclaimPlanner.onUpstreamLeaving(upstream.upstream(), upstream.deadlineMillis(), nowMillis);
        }
    }

    private void onTimer(Call call, long nowMillis) {
        if (call.request.kind() == CallKind.SUBMIT) {
            nonIdempotentCalls.onTimer(call, nowMillis);
        } else {
            idempotentCalls.onTimer(call, nowMillis);
        }
    }
}
