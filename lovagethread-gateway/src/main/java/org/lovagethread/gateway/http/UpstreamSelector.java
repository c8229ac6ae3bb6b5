package org.lovagethread.gateway.http;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.policy.Admission;
import org.lovagethread.gateway.policy.AttemptOutcome;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.rollout.RolloutTable;
import org.lovagethread.gateway.upstream.BrittleUpstreams;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamPauses;

/** Selects the upstream for the next attempt of a request, or decides that the request is refused. */
final class UpstreamSelector {
    /** Share of the time that is not needed for processing for which a request may wait for room. */
    private static final double MAX_WAIT_SHARE = 0.5;

    /** Time for which a request may wait beyond twice the predicted time, in milliseconds. */
    private static final long WAIT_SLACK_MILLIS = 500;

    private final ExchangeContext context;
    private final AdmittedRequest admitted;
    private final Placement.Demand demand;
    private Optional<String> version = Optional.empty();

    /** Result of a selection. */
    sealed interface Selection {}

    /** The request is sent to an upstream. */
    record Send(Placement.Choice choice) implements Selection {}

    /** The request is refused, although there is an upstream. */
    record Refuse(Placement.Choice choice, long retryAfterMillis) implements Selection {}

    /**
     * The request waits until an upstream has room for it.
     *
     * @param latestMillis the time until which it may wait, in milliseconds
     */
    record AwaitRoom(long latestMillis) implements Selection {}

    /** There is no upstream that may receive the request. */
    record Unavailable() implements Selection {}

    UpstreamSelector(ExchangeContext context, AdmittedRequest admitted, Placement.Demand demand) {
        this.context = context;
        this.admitted = admitted;
        this.demand = demand;
    }

    /** Restricts the upstreams to those of the software version at which the stream began. */
    void pin(String streamVersion) {
        version = Optional.of(streamVersion);
    }

    /** Returns the error that a request gets which was sent to no upstream. */
    ErrorKind errorKind(AttemptOutcome outcome) {
        return version.isPresent() && outcome == AttemptOutcome.NOT_SENT
                ? ErrorKind.VERSION_UNAVAILABLE
                : outcome.errorKind();
    }

    /** Returns whether there is an upstream that is not paused and to which the request has not been sent yet. */
    boolean hasUntried(Set<String> triedUpstreams) {
        return untried(triedUpstreams, context.nowMillis()).findAny().isPresent();
    }

    /** Returns whether there is such an upstream without recent failures. */
    boolean hasHealthyUntried(Set<String> triedUpstreams, long nowMillis) {
        return untried(triedUpstreams, nowMillis)
                .anyMatch(upstream -> !upstream.failureDetector().shouldAvoid(nowMillis));
    }

    private Stream<Upstream> untried(Set<String> triedUpstreams, long nowMillis) {
        return ofVersion(context.upstreams().unpaused(admitted.service().name(), nowMillis)).stream()
                .filter(upstream -> !triedUpstreams.contains(upstream.entry().id()));
    }

    private List<Upstream> ofVersion(List<Upstream> upstreams) {
        return version.isEmpty()
                ? upstreams
                : upstreams.stream()
                        .filter(upstream -> upstream.entry().version().equals(version.get()))
                        .toList();
    }

    /**
     * Selects an upstream.
     *
     * @param triedUpstreams the identifiers of the upstreams to which the request was sent before
     * @param remainingMillis the time until the deadline of the request, in milliseconds
     * @param nowMillis the current time in milliseconds
     * @return the selection
     */
    Selection select(Set<String> triedUpstreams, long remainingMillis, long nowMillis) {
        RolloutTable.Candidates candidates = candidates(triedUpstreams, nowMillis);
        Selection selection = select(candidates.preferred(), triedUpstreams, remainingMillis, nowMillis);
        if (selection instanceof Send || candidates.fallback().isEmpty()) {
            return selection;
        }
        Selection other = select(candidates.fallback(), triedUpstreams, remainingMillis, nowMillis);
        boolean isBetter = other instanceof Send || !(other instanceof Unavailable || selection instanceof AwaitRoom);
        return isBetter ? other : selection;
    }

    /** Lets a request wait until an upstream has room for it. */
    void lineUp(RoomQueue.Waiter waiter, Set<String> triedUpstreams, long latestMillis) {
        String group = admitted.service().name() + version.orElse("") + triedUpstreams;
        context.upstreams().brittle().recordWaiting();
        context.roomQueue().add(waiter, admitted.service().name(), group, admitted.priority(), latestMillis);
    }

    private RolloutTable.Candidates candidates(Set<String> triedUpstreams, long nowMillis) {
        String service = admitted.service().name();
        List<Upstream> available = context.upstreams().available(service);
        if (version.isPresent()) {
            return context.rollouts().continuing(service, available, version.get(), nowMillis);
        }
        var kind = new RolloutTable.RequestKind(
                triedUpstreams.isEmpty(), admitted.route().isRetryable());
        List<Upstream> beginnable = context.streamOrigins().beginnable(admitted.streamRequest(), available, nowMillis);
        return context.rollouts().candidates(service, beginnable, kind, nowMillis);
    }

    private Selection select(
            List<Upstream> candidates, Set<String> triedUpstreams, long remainingMillis, long nowMillis) {
        Route route = admitted.route();
        ServiceSpec service = admitted.service();
        boolean isFirstAttempt = triedUpstreams.isEmpty();
        List<Upstream> open = pauses().candidates(candidates, triedUpstreams, nowMillis);
        List<Upstream> withRoom = withRoom(open, nowMillis);
        if (withRoom.size() < open.size() && !isAnyUsable(withRoom, triedUpstreams, nowMillis)) {
            return awaitRoom(open, triedUpstreams, remainingMillis, nowMillis);
        }
        Optional<Placement.Choice> choice = context.placement()
                .choose(service, withRoom, triedUpstreams, demand, route.isRetryable() && isFirstAttempt, nowMillis);
        if (choice.isEmpty()) {
            return new Unavailable();
        }
        Admission.Candidate candidate = new Admission.Candidate(route, admitted.targetMillis(), remainingMillis);
        if (isFirstAttempt && !context.admission().admits(candidate, choice.get())) {
            return new Refuse(
                    choice.get(), context.retryAfterMillis(service.name(), candidate, choice.get(), nowMillis));
        }
        return new Send(choice.get());
    }

    /** Returns the upstreams that have room; those that are brittle have none while other requests wait. */
    private List<Upstream> withRoom(List<Upstream> upstreams, long nowMillis) {
        BrittleUpstreams brittle = context.upstreams().brittle();
        return context.roomQueue().mustLineUp(admitted.service().name())
                ? brittle.withoutBrittle(upstreams, nowMillis)
                : brittle.withRoom(upstreams, nowMillis);
    }

    private static boolean isAnyUsable(List<Upstream> upstreams, Set<String> triedUpstreams, long nowMillis) {
        return upstreams.stream()
                .anyMatch(upstream -> !triedUpstreams.contains(upstream.entry().id())
                        && !upstream.failureDetector().shouldAvoid(nowMillis));
    }

    /** Lets the request wait if the upstreams are expected to serve it in time, and refuses it otherwise. */
    private Selection awaitRoom(
            List<Upstream> upstreams, Set<String> triedUpstreams, long remainingMillis, long nowMillis) {
        ServiceSpec service = admitted.service();
        Optional<Placement.Choice> choice =
                context.placement().choose(service, upstreams, triedUpstreams, demand, false, nowMillis);
        if (choice.isEmpty()) {
            return new Unavailable();
        }
        double processingMillis = choice.get().processingMillis();
        double occupancyMillis = service.engine().isEmpty()
                ? processingMillis
                : context.engineModels().of(service.name()).estimate(nowMillis).streamMillis();
        int claimed = context.upstreams().brittle().claimed(upstreams, nowMillis);
        double waitMillis = occupancyMillis * (context.roomQueue().waiting(service.name()) + 1) / Math.max(1, claimed);
        Placement.Choice delayed = choice.get().startingAfter(waitMillis);
        Admission.Candidate candidate =
                new Admission.Candidate(admitted.route(), admitted.targetMillis(), remainingMillis);
        if (context.roomQueue().isFull(service.name()) || !context.admission().admits(candidate, delayed)) {
            return new Refuse(delayed, context.retryAfterMillis(service.name(), candidate, delayed, nowMillis));
        }
        double spareMillis = remainingMillis - processingMillis;
        return new AwaitRoom(
                nowMillis + (long) Math.min(spareMillis * MAX_WAIT_SHARE, 2 * waitMillis + WAIT_SLACK_MILLIS));
    }

    /**
     * Returns the time after which a request should be sent again that no upstream has executed: when the first pause
     * ends if all upstreams of the service are paused.
     *
     * @param remainingMillis the time until the deadline of the request, in milliseconds
     * @param nowMillis the current time in milliseconds
     * @return the time in milliseconds
     */
    long retryAfterMillis(long remainingMillis, long nowMillis) {
        return pauses().retryAfterMillis(
                        ofVersion(
                                context.upstreams().available(admitted.service().name())),
                        nowMillis)
                .orElseGet(() -> context.admission().defaultRetryAfterMillis(remainingMillis));
    }

    private UpstreamPauses pauses() {
        return context.upstreams().pauses();
    }
}
