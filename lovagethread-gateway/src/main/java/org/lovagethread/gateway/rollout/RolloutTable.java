package org.lovagethread.gateway.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.lovagethread.gateway.policy.ZoneTopology;
import org.lovagethread.gateway.store.StoreVersion;
import org.lovagethread.gateway.upstream.Upstream;

/**
 * The rollouts that this gateway knows from the store and from its peers. It filters the upstreams of each request.
 *
 * <p>Not thread-safe.
 */
public final class RolloutTable {
    /** Minimum time between two evaluations of the statistics, in milliseconds. */
    private static final long EVALUATION_INTERVAL_MILLIS = 200;

    /** Maximum number of services with a rollout, which bounds the messages to peers. */
    private static final int MAX_ROLLOUTS = 16;

    /** Maximum number of services for which a line is logged because their order is not carried out. */
    private static final int MAX_DROPPED = 256;

    /** Part of the duration after which a gateway that learns of a rollout may have been restarted during it. */
    private static final double MAX_SLACK_PROGRESS = 0.15;

    /** Maximum difference between the estimates of one deadline at two gateways, in milliseconds. */
    private static final long MAX_DEADLINE_ERROR_MILLIS = 250;

    /** Time on the network to another zone and back; canaries may be further away than most old upstreams. */
    private static final long ZONE_ROUND_TRIP_MILLIS = 3;

    /** Time on the network to another region and back. */
    private static final long REGION_ROUND_TRIP_MILLIS = 24;

    private final Optional<RolloutBounds> bounds;
    private final ZoneTopology zones;
    private final String self;
    private final DoubleSupplier random;
    private final Observer observer;
    private final Map<String, ServiceRollout> byService = new TreeMap<>();
    private final Map<String, ServiceVersions> versionsByService = new HashMap<>();
    private final Set<String> droppedServices = new HashSet<>();
    private int gatewayCount = 1;
    private long nextEvaluationMillis = Long.MIN_VALUE;

    /** Receives the changes of rollouts, for logs. */
    public interface Observer {
        /**
         * Handles a new stage.
         *
         * @param rollout the rollout
         * @param stage the stage
         * @param judge the judge of the rollout
         */
        void onStage(Rollout rollout, RolloutStage stage, RolloutJudge judge);

        /**
         * Handles clear evidence of this gateway against the target version. The gateway sends nothing more to it.
         *
         * @param rollout the rollout
         * @param judge the judge of the rollout
         */
        void onStopped(Rollout rollout, RolloutJudge judge);

        /**
         * Handles an order that is not carried out, because too many other services have a running rollout.
         *
         * @param rollout the rollout
         */
        void onDropped(Rollout rollout);
    }

    /**
     * What decides which versions may receive an attempt.
     *
     * @param isFirstAttempt whether the request has not been sent before
     * @param isRepeatable whether the request may run twice
     */
    public record RequestKind(boolean isFirstAttempt, boolean isRepeatable) {}

    /**
     * The upstreams that may receive an attempt.
     *
     * @param preferred the upstreams to choose from
     * @param fallback the upstreams to choose from if none of the preferred ones can serve the request in time
     */
    public record Candidates(List<Upstream> preferred, List<Upstream> fallback) {}

    /**
     * Creates a table without rollouts.
     *
     * @param bounds the limits; if empty, there are no rollouts and all upstreams may always receive requests
     * @param zones the distances between availability zones
     * @param self the name of this gateway among the reporters of statistics
     * @param random supplies random numbers from zero to one
     * @param observer receives the changes
     */
    public RolloutTable(
            Optional<RolloutBounds> bounds, ZoneTopology zones, String self, DoubleSupplier random, Observer observer) {
        this.bounds = bounds;
        this.zones = zones;
        this.self = self;
        this.random = random;
        this.observer = observer;
    }

    /**
     * Returns the upstreams that may receive an attempt.
     *
     * @param service the name of the service
     * @param available the upstreams of the service that can receive requests
     * @param kind the kind of the attempt
     * @param nowMillis the current time in milliseconds
     * @return the candidates
     */
    public Candidates candidates(String service, List<Upstream> available, RequestKind kind, long nowMillis) {
        if (bounds.isEmpty() || available.isEmpty()) {
            return new Candidates(available, List.of());
        }
        ServiceVersions versions = versions(service);
        List<Upstream> remaining = versions.withoutLosing(available);
        ServiceRollout current = byService.get(service);
        if (current == null || current.stage().isEnded()) {
            List<Upstream> preferred = versions.withoutNew(remaining, nowMillis);
            List<Upstream> heldBack = preferred.size() == remaining.size()
                    ? List.of()
                    : remaining.stream()
                            .filter(upstream -> !preferred.contains(upstream))
                            .toList();
            return new Candidates(preferred, heldBack);
        }
        List<Upstream> old = new ArrayList<>();
        List<Upstream> targets = new ArrayList<>();
        for (Upstream upstream : remaining) {
            boolean isTarget =
                    upstream.entry().version().equals(current.rollout().target());
            (isTarget ? targets : old).add(upstream);
        }
        versions.recordServing(old);
        if (old.isEmpty() || targets.isEmpty()) {
            return new Candidates(remaining, List.of());
        }
        return current.candidates(old, targets, kind, nowMillis);
    }

    /**
     * Returns the upstreams that may continue a stream which began at a version. A version that lost its rollout
     * receives none, and the one that is rolled out receives them only within its limits.
     *
     * @param service the name of the service
     * @param available the upstreams of the service that can receive requests
     * @param version the version
     * @param nowMillis the current time in milliseconds
     * @return the candidates, all of that version
     */
    public Candidates continuing(String service, List<Upstream> available, String version, long nowMillis) {
        List<Upstream> remaining =
                bounds.isEmpty() ? available : versions(service).withoutLosing(available);
        List<Upstream> same = remaining.stream()
                .filter(upstream -> upstream.entry().version().equals(version))
                .toList();
        ServiceRollout current = byService.get(service);
        boolean isOnlyVersion = same.size() == remaining.size();
        if (current == null
                || isOnlyVersion
                || !version.equals(current.rollout().target())) {
            return new Candidates(same, List.of());
        }
        return new Candidates(current.continuing(same, nowMillis), List.of());
    }

    /**
     * Records that an attempt is sent.
     *
     * @param service the name of the service
     * @param route the name of the route
     * @param upstream the upstream
     * @param isFirstAttempt whether the request has not been sent before
     * @return the sample that receives its outcome, or empty if the outcome is not counted
     */
    public Optional<RolloutSample> recordSent(String service, String route, Upstream upstream, boolean isFirstAttempt) {
        ServiceRollout current = byService.get(service);
        if (current == null) {
            return Optional.empty();
        }
        long networkMillis =
                switch (zones.distance(upstream.entry().zone())) {
                    case SAME_ZONE -> 0;
                    case SAME_REGION -> ZONE_ROUND_TRIP_MILLIS;
                    case OTHER_REGION -> REGION_ROUND_TRIP_MILLIS;
                };
        return current.recordSent(route, upstream, networkMillis, isFirstAttempt);
    }

    /**
     * Applies an order from the store.
     *
     * @param order the order
     * @param revision the revision of its object
     * @param nowMillis the current time in milliseconds
     */
    public void applyOrder(RolloutOrder order, long revision, long nowMillis) {
        Rollout rollout = new Rollout(
                order.service(), order.target(), revision, order.durationMillis(), nowMillis + order.durationMillis());
        ServiceRollout known = byService.get(order.service());
        if (known == null || startsAnother(known, rollout, isTakenUp(order))) {
            start(rollout, order.end().orElse(RolloutStage.CANARY), !order.isRunning(), nowMillis);
        } else if (known.rollout().target().equals(order.target())) {
            known.merge(revision, known.rollout().deadlineMillis());
            order.end().ifPresent(end -> advance(order.service(), end, nowMillis));
        }
    }

    /**
     * Ends the rollout of a service whose order was removed. The target version receives no further requests.
     *
     * @param service the name of the service
     * @param nowMillis the current time in milliseconds
     */
    public void removeOrder(String service, long nowMillis) {
        advance(service, RolloutStage.ROLLED_BACK, nowMillis);
    }

    /**
     * Applies the report of a peer.
     *
     * @param reporter the name of the process of the peer
     * @param report the report
     * @param nowMillis the current time in milliseconds
     */
    public void applyReport(String reporter, RolloutReport report, long nowMillis) {
        Rollout rollout = report.rollout();
        ServiceRollout known = byService.get(rollout.service());
        if (bounds.isEmpty()) {
            return;
        }
        if (known == null || startsAnother(known, rollout, !isLaterOrder(known, report, nowMillis))) {
            start(rollout, report.stage(), true, nowMillis);
            known = byService.get(rollout.service());
        }
        if (known == null || !known.rollout().target().equals(rollout.target()) || !known.isAsNew(rollout)) {
            return;
        }
        known.merge(rollout.revision(), rollout.deadlineMillis());
        known.confirm();
        known.recordReport(reporter, report.stoppedGateways(), report.statistics());
        if (known.stage().mayBecome(report.stage())) {
            advance(rollout.service(), report.stage(), nowMillis);
        }
    }

    /**
     * Enters a stage that has been decided, unless the rollout is in a later one.
     *
     * @param service the name of the service
     * @param stage the stage
     * @param nowMillis the current time in milliseconds
     */
    public void advance(String service, RolloutStage stage, long nowMillis) {
        ServiceRollout current = byService.get(service);
        if (current != null && current.advance(stage, nowMillis)) {
            if (stage.isEnded()) {
                versions(service).onEnded(current.rollout().target(), stage);
            }
            observer.onStage(current.rollout(), stage, current.judge());
        }
    }

    /**
     * Merges what the stored decision says about an order into the known rollout.
     *
     * @param service the name of the service
     * @param revision the revision of its object
     * @param deadlineMillis its deadline in milliseconds
     */
    public void merge(String service, long revision, long deadlineMillis) {
        Optional.ofNullable(byService.get(service)).ifPresent(current -> {
            current.merge(revision, deadlineMillis);
            current.confirm();
        });
    }

    /**
     * Evaluates the statistics.
     *
     * @param currentGatewayCount the number of gateways
     * @param nowMillis the current time in milliseconds
     */
    public void tick(int currentGatewayCount, long nowMillis) {
        gatewayCount = currentGatewayCount;
        if (nowMillis < nextEvaluationMillis) {
            return;
        }
        nextEvaluationMillis = nowMillis + EVALUATION_INTERVAL_MILLIS;
        for (ServiceRollout current : byService.values()) {
            current.limiter().raiseGatewayCount(gatewayCount);
            if (current.evaluate(self, gatewayCount, nowMillis)) {
                observer.onStopped(current.rollout(), current.judge());
            }
        }
    }

    /**
     * Returns the stage that a rollout should enter according to the statistics and the time.
     *
     * @param service the name of the service
     * @param nowMillis the current time in milliseconds
     * @return the stage, or empty if it should stay in the current one
     */
    public Optional<RolloutStage> nextStage(String service, long nowMillis) {
        return Optional.ofNullable(byService.get(service)).flatMap(current -> current.nextStage(nowMillis));
    }

    /**
     * Returns the reports for peers.
     *
     * @param included whether the report of a peer is added to the statistics of this gateway
     * @param nowMillis the current time in milliseconds
     * @return the reports
     */
    public List<RolloutReport> reports(Predicate<String> included, long nowMillis) {
        return byService.values().stream()
                .flatMap(current -> current.report(included, nowMillis).stream())
                .toList();
    }

    /**
     * Returns the rollout of a service.
     *
     * @param service the name of the service
     * @return the latest rollout, or empty if none is known
     */
    public Optional<Rollout> find(String service) {
        return Optional.ofNullable(byService.get(service)).map(ServiceRollout::rollout);
    }

    /**
     * Returns the stage of the latest rollout of a service.
     *
     * @param service the name of the service
     * @return the stage, or empty if no rollout is known
     */
    public Optional<RolloutStage> stage(String service) {
        return Optional.ofNullable(byService.get(service)).map(ServiceRollout::stage);
    }

    /**
     * Returns the share of its requests that this gateway has sent to the target version.
     *
     * @param service the name of the service
     * @return the requests to the target version per thousand, or zero if no rollout is known
     */
    public long targetPerMille(String service) {
        ServiceRollout current = byService.get(service);
        return current == null
                ? 0
                : 1_000
                        * current.limiter().targetRequests()
                        / Math.max(1, current.limiter().requests());
    }

    /**
     * Returns the services with a rollout.
     *
     * @return the names
     */
    public List<String> services() {
        return List.copyOf(byService.keySet());
    }

    /**
     * Returns the judge of the latest rollout of a service, for metrics.
     *
     * @param service the name of the service
     * @return the judge, or empty if no rollout is known
     */
    public Optional<RolloutJudge> judge(String service) {
        return Optional.ofNullable(byService.get(service)).map(ServiceRollout::judge);
    }

    /**
     * Returns whether an order is not the known one: another target, or the same one again after the end. An order with
     * the same target in a later era of the store is the known one, without the status that the store has lost.
     */
    private static boolean startsAnother(ServiceRollout known, Rollout rollout, boolean isTakenUp) {
        boolean isNewer = rollout.revision() > known.rollout().revision();
        boolean isSameTarget = known.rollout().target().equals(rollout.target());
        boolean isSameEra = StoreVersion.era(rollout.revision())
                == StoreVersion.era(known.rollout().revision());
        return isNewer && (!isSameTarget || (known.stage().isEnded() && !isTakenUp && isSameEra));
    }

    /** Returns whether an order was taken up earlier. Its object may be edited between the verdict and its status. */
    private static boolean isTakenUp(RolloutOrder order) {
        return order.isRunning() || order.end().isPresent();
    }

    /** Returns whether a report is about an order that was written later than the known one, not an edit of it. */
    private static boolean isLaterOrder(ServiceRollout known, RolloutReport report, long nowMillis) {
        long deadlineMillis = report.rollout().deadlineMillis();
        return !report.stage().isEnded()
                && deadlineMillis > nowMillis
                && deadlineMillis > known.rollout().deadlineMillis() + MAX_DEADLINE_ERROR_MILLIS;
    }

    private void start(Rollout rollout, RolloutStage stage, boolean isConfirmed, long nowMillis) {
        if (bounds.isEmpty() || !hasRoom(rollout, stage)) {
            return;
        }
        // The version of a replaced order was not judged, so it must not count as an old one.
        advance(rollout.service(), RolloutStage.ROLLED_BACK, nowMillis);
        versions(rollout.service()).onOrdered(rollout.target());
        boolean hasSlack =
                isConfirmed && stage == RolloutStage.CANARY && rollout.progress(nowMillis) <= MAX_SLACK_PROGRESS;
        CanaryLimiter limiter = new CanaryLimiter(bounds.get(), gatewayCount, hasSlack);
        RolloutStage first = stage.isEnded() ? RolloutStage.CANARY : stage;
        ServiceRollout started = new ServiceRollout(rollout, first, isConfirmed, limiter, random, nowMillis);
        byService.put(rollout.service(), started);
        observer.onStage(rollout, first, started.judge());
        advance(rollout.service(), stage, nowMillis);
    }

    /** Makes room for a rollout by removing the one that ended first; returns false if none has ended. */
    private boolean hasRoom(Rollout rollout, RolloutStage stage) {
        if (byService.size() < MAX_ROLLOUTS || byService.containsKey(rollout.service())) {
            return true;
        }
        if (stage.isEnded()) {
            versions(rollout.service()).onEnded(rollout.target(), stage);
            return false;
        }
        Optional<ServiceRollout> oldest = byService.values().stream()
                .filter(known -> known.stage().isEnded())
                .min(Comparator.comparingLong(ServiceRollout::stageMillis));
        if (oldest.isPresent()) {
            byService.remove(oldest.get().rollout().service());
        } else if (droppedServices.size() < MAX_DROPPED && droppedServices.add(rollout.service())) {
            observer.onDropped(rollout);
        }
        return oldest.isPresent();
    }

    private ServiceVersions versions(String service) {
        return versionsByService.computeIfAbsent(service, name -> new ServiceVersions());
    }
}
