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
public final class Calls {
    private final Admission admission;
    private final RetryBudget budget = new RetryBudget();
    private final Supplier<Optional<Configuration>> configuration;
    private final Dispatcher dispatcher;
    private final HandOverFlow handOvers;
    private final Outbox out;
    private final ReclaimPlanner reclaims;
    private final StreamFlow streams;
    private final SubmitFlow submits;
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
     * @param ownerGone tests whether the node that owns a claim is known to have died or restarted, given the token of
     *     the claim and the current time
     * @param out receives the commands
     */
    public Calls(
            CoreSettings settings,
            Supplier<Optional<Configuration>> configuration,
            CustomerLimits limits,
            Router router,
            UpstreamTable upstreams,
            MemberTable members,
            BiPredicate<String, Long> ownerGone,
            Outbox out) {
        this.configuration = configuration;
        this.out = out;
        admission = new Admission(limits);
        dispatcher = new Dispatcher(configuration, out, router, table, upstreams);
        reclaims = new ReclaimPlanner(settings.reclaimPolicy(), dispatcher, table);
        streams = new StreamFlow(budget, dispatcher, out, table);
        handOvers = new HandOverFlow(dispatcher, members, out, streams, table);
        submits = new SubmitFlow(settings, dispatcher, out, table, ownerGone);
    }

    /**
     * Handles a stream offered by a peer that is shutting down.
     *
     * @param event the offer
     * @param selfStopping whether this node is shutting down as well
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void adopted(Event.CallAdopted event, boolean selfStopping, long nowMillis) {
        if (selfStopping || configuration.get().isEmpty()) {
            out.add(new Command.AnswerAdoption(event.request().callId(), false));
            return;
        }
        Call call = new Call(event.request());
        table.add(call);
        streams.adopt(call, event.heldChunks(), nowMillis);
    }

    /**
     * Offers unfinished streams to peers.
     *
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void handOver(long nowMillis) {
        handOvers.handOver(nowMillis);
    }

    /**
     * Handles a peer's reply to an offered stream.
     *
     * @param event the reply
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void handOverReplied(Event.HandOverReplied event, long nowMillis) {
        table.call(event.callId()).ifPresent(call -> handOvers.replied(call, event.accepted(), nowMillis));
    }

    /**
     * Handles a new call.
     *
     * @param request the call
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void arrived(CallRequest request, long nowMillis) {
        Call call = new Call(request);
        Optional<Call> earlier =
                request.kind() == CallKind.GENERATE ? table.stream(call.streamKey()) : Optional.empty();
        if (earlier.isPresent()) {
            streams.attach(request.callId(), earlier.get(), request.fromChunk());
            return;
        }
        Optional<Admission.Refusal> refusal = admission.check(configuration.get(), request, nowMillis);
        if (refusal.isPresent()) {
            dispatcher.refuse(call, refusal.get().kind(), refusal.get().retryAtMillis(), nowMillis);
            out.add(new Command.ForgetCall(call.id()));
            return;
        }
        budget.callArrived();
        table.add(call);
        dispatcher.note(call, DecisionKind.ADMITTED, request.kind().name());
        if (request.kind() == CallKind.SUBMIT) {
            submits.begin(call, nowMillis);
        } else {
            streams.begin(call, nowMillis);
        }
    }

    /**
     * Handles the end of an attempt. Events for attempts that are no longer in flight are ignored.
     *
     * @param event the event
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void attemptEnded(Event.AttemptEnded event, long nowMillis) {
        Optional<Attempt> attempt = table.attempt(event.attemptId());
        if (attempt.isEmpty()) {
            return;
        }
        Call call = table.call(attempt.get().callId).orElseThrow();
        if (call.request.kind() == CallKind.SUBMIT) {
            submits.ended(call, attempt.get(), event, nowMillis);
        } else {
            streams.ended(call, attempt.get(), event.outcome(), event.lastChunk(), nowMillis);
        }
    }

    /**
     * Handles progress of an attempt.
     *
     * @param event the event
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void attemptProgressed(Event.AttemptProgressed event, long nowMillis) {
        Optional<Attempt> attempt = table.attempt(event.attemptId());
        if (attempt.isPresent()) {
            Call call = table.call(attempt.get().callId).orElseThrow();
            streams.progressed(call, attempt.get(), event.lastChunk(), nowMillis);
        }
    }

    /**
     * Handles the disconnection of a caller.
     *
     * @param callId the identifier of the call
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void callerLeft(long callId, long nowMillis) {
        Optional<Call> call = table.call(callId);
        if (call.isPresent() && call.get().request.kind() != CallKind.SUBMIT) {
            streams.callerLeft(call.get(), nowMillis);
        }
    }

    /**
     * Handles the result of an operation on a claim.
     *
     * @param reply the result
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void claimReplied(Event.ClaimReplied reply, long nowMillis) {
        table.endOperation(reply.operationId()).ifPresent(call -> submits.replied(call, reply, nowMillis));
    }

    /**
     * Processes the calls whose timers have expired.
     *
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void ticked(long nowMillis) {
        for (Call call : table.due(nowMillis)) {
            wake(call, nowMillis);
        }
    }

    /**
     * Returns the number of calls that have not ended.
     *
     * @return the number of calls
     */
    public int unfinished() {
        return table.unfinished();
    }

    /**
     * Handles a notice that upstreams are leaving.
     *
     * @param leaving the leaving upstreams and their deadlines
     * @param nowMillis the current time in milliseconds since the epoch
     */
    public void upstreamsLeaving(List<LeavingUpstream> leaving, long nowMillis) {
        for (LeavingUpstream mark : leaving) {
            reclaims.upstreamLeaving(mark.upstream(), mark.deadlineMillis(), nowMillis);
        }
    }

    private void wake(Call call, long nowMillis) {
        if (call.request.kind() == CallKind.SUBMIT) {
            submits.wake(call, nowMillis);
        } else {
            streams.wake(call, nowMillis);
        }
    }
}
