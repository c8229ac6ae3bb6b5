package org.lovagethread.gateway.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

/**
 * Limits the requests to upstreams that state that they fall over when they have to reject too many of them.
 *
 * <p>Upstreams become brittle by service. Therefore an upstream of such a service that has not responded yet, for example
 * because it has just returned, counts as brittle too. Not thread-safe.
 */
public final class BrittleUpstreams {
    /** Time for which a statement outweighs responses without one, which may have been sent before it. */
    private static final long FORGET_DELAY_MILLIS = 500;

    /** Time after which a statement is forgotten if there is no response, in milliseconds. */
    private static final long STATEMENT_TIMEOUT_MILLIS = 30_000;

    /** Time for which a place that cannot be divided stays at one gateway, in milliseconds. */
    private static final long TURN_MILLIS = 2_000;

    /** Maximum number of changes that are kept until they are reported. */
    private static final int MAX_UNREPORTED = 200;

    private final Map<String, BrittleLimit> limitByProcess = new LinkedHashMap<>();
    private final Map<String, Long> soundMillisByProcess = new HashMap<>();
    private final Map<String, Statement> statementByService = new HashMap<>();
    private final List<Change> unreported = new ArrayList<>();
    private long malformedNotices;
    private long rejections;
    private boolean urgent;

    /** The latest number that an upstream of a service has stated, and the time after which it is forgotten. */
    private record Statement(int maxRejections, long expiryMillis) {}

    /** Kinds of changes. */
    public enum ChangeKind {
        /** The upstream states a new number. */
        STATED("stated"),
        /** The upstream has rejected a request, and less room is assumed. */
        ROOM_REDUCED("room-reduced"),
        /** The upstream no longer states a number, or its process has ended. */
        ENDED("ended");

        private final String label;

        ChangeKind(String label) {
            this.label = label;
        }

        /**
         * Returns the name for logs.
         *
         * @return the name
         */
        public String label() {
            return label;
        }
    }

    /**
     * A change of what is known about a brittle upstream.
     *
     * @param kind the kind of change
     * @param upstream the upstream
     * @param maxRejections the number of rejections in a second beyond which it falls over
     * @param room the number of requests in progress of all gateways that is assumed to be safe
     */
    public record Change(ChangeKind kind, UpstreamEntry upstream, int maxRejections, int room) {}

    /**
     * Returns whether no upstream is brittle.
     *
     * @return true if no request is limited
     */
    public boolean isEmpty() {
        return statementByService.isEmpty() && limitByProcess.isEmpty();
    }

    /**
     * Records what a response says, before anything else is done with it.
     *
     * @param upstream the upstream that sent the response
     * @param notice what the response says
     * @param nowMillis the current time in milliseconds
     */
    public void recordResponse(Upstream upstream, BrittleNotice notice, long nowMillis) {
        switch (notice.form()) {
            case STATED -> recordStatement(upstream, notice.maxRejections(), nowMillis, nowMillis);
            case MALFORMED -> {
                malformedNotices++;
                recordStatement(upstream, lastSoundValue(upstream.entry()), nowMillis, nowMillis);
            }
            case NONE -> recordNoStatement(upstream, nowMillis);
        }
    }

    /** Returns the latest number that the upstream or its service stated; zero, the most careful one, if unknown. */
    private int lastSoundValue(UpstreamEntry upstream) {
        BrittleLimit limit = limitByProcess.get(upstream.process());
        Statement ofService = statementByService.get(upstream.service());
        return limit != null ? limit.maxRejections() : ofService != null ? ofService.maxRejections() : 0;
    }

    private void recordStatement(Upstream upstream, int maxRejections, long statedMillis, long nowMillis) {
        UpstreamEntry entry = upstream.entry();
        BrittleLimit limit = limitByProcess.computeIfAbsent(
                entry.process(), process -> createLimit(upstream, maxRejections, nowMillis));
        if (limit.recordStatement(maxRejections, statedMillis)) {
            report(ChangeKind.STATED, limit, nowMillis);
        }
        Statement statement = new Statement(maxRejections, statedMillis + STATEMENT_TIMEOUT_MILLIS);
        statementByService.merge(
                entry.service(),
                statement,
                (old, latest) -> latest.expiryMillis() >= old.expiryMillis() ? latest : old);
    }

    private void recordNoStatement(Upstream upstream, long nowMillis) {
        if (limitByProcess.isEmpty()) {
            return;
        }
        BrittleLimit limit = limitByProcess.get(upstream.entry().process());
        if (limit == null || limit.isSound()) {
            return;
        }
        if (!limit.isStated() || nowMillis - limit.statedMillis() >= FORGET_DELAY_MILLIS) {
            report(ChangeKind.ENDED, limit, nowMillis);
            limit.recordSound(nowMillis);
            soundMillisByProcess.put(upstream.entry().process(), nowMillis);
            forgetIfSound(limit.upstream().service());
        }
    }

    /** Forgets a service if none of its upstreams states a number any more. */
    private void forgetIfSound(String service) {
        boolean isBrittle = limitByProcess.values().stream()
                .anyMatch(
                        limit -> limit.isStated() && limit.upstream().service().equals(service));
        if (!isBrittle) {
            statementByService.remove(service);
            limitByProcess.values().removeIf(limit -> limit.upstream().service().equals(service));
        }
    }

    /**
     * Records a rejection for want of room.
     *
     * @param upstream the upstream
     * @param nowMillis the current time in milliseconds
     */
    public void recordRejection(UpstreamEntry upstream, long nowMillis) {
        BrittleLimit limit = limitByProcess.get(upstream.process());
        if (limit == null || limit.isSound()) {
            return;
        }
        rejections++;
        urgent = true;
        if (limit.recordRejection(nowMillis)) {
            report(ChangeKind.ROOM_REDUCED, limit, nowMillis);
        }
    }

    /**
     * Records that a request is sent to an upstream.
     *
     * @param upstream the upstream
     * @param nowMillis the current time in milliseconds
     */
    public void recordSent(UpstreamEntry upstream, long nowMillis) {
        BrittleLimit limit = limitByProcess.isEmpty() ? null : limitByProcess.get(upstream.process());
        if (limit != null) {
            limit.recordSent(nowMillis);
        }
    }

    /**
     * Records that this gateway has closed the connection of a request in progress.
     *
     * @param upstream the upstream
     * @param nowMillis the current time in milliseconds
     */
    public void recordCancelled(UpstreamEntry upstream, long nowMillis) {
        BrittleLimit limit = limitByProcess.isEmpty() ? null : limitByProcess.get(upstream.process());
        if (limit != null) {
            limit.recordCancelled(nowMillis);
        }
    }

    /** Records that requests begin to wait for room, which the peers should learn soon. */
    public void recordWaiting() {
        urgent = true;
    }

    /**
     * Returns the upstreams that have room for another request of this gateway.
     *
     * @param upstreams the upstreams
     * @param nowMillis the current time in milliseconds
     * @return the upstreams in the same order; the same list if no upstream is brittle
     */
    public List<Upstream> withRoom(List<Upstream> upstreams, long nowMillis) {
        if (isEmpty()) {
            return upstreams;
        }
        return upstreams.stream()
                .filter(upstream -> limit(upstream, nowMillis)
                        .map(limit -> limit.allows(upstream.load().local().inFlight(), nowMillis))
                        .orElse(true))
                .toList();
    }

    /**
     * Returns the upstreams that are not brittle.
     *
     * @param upstreams the upstreams
     * @param nowMillis the current time in milliseconds
     * @return the upstreams in the same order; the same list if no upstream is brittle
     */
    public List<Upstream> withoutBrittle(List<Upstream> upstreams, long nowMillis) {
        if (isEmpty()) {
            return upstreams;
        }
        return upstreams.stream()
                .filter(upstream ->
                        limit(upstream, nowMillis).map(BrittleLimit::isSound).orElse(true))
                .toList();
    }

    /**
     * Returns the number of requests that this gateway may have in progress at some upstreams together.
     *
     * @param upstreams the upstreams
     * @param nowMillis the current time in milliseconds
     * @return the sum of the claims of those that are brittle
     */
    public int claimed(List<Upstream> upstreams, long nowMillis) {
        return upstreams.stream()
                .mapToInt(upstream -> limit(upstream, nowMillis)
                        .map(limit -> limit.claim(nowMillis))
                        .orElse(0))
                .sum();
    }

    /** Returns the limit of an upstream, which it also has if others of its service are brittle. */
    private Optional<BrittleLimit> limit(Upstream upstream, long nowMillis) {
        BrittleLimit limit = limitByProcess.get(upstream.entry().process());
        Statement ofService = statementByService.get(upstream.entry().service());
        if (limit == null && ofService != null) {
            limit = createLimit(upstream, ofService.maxRejections(), nowMillis);
            limitByProcess.put(upstream.entry().process(), limit);
        }
        return Optional.ofNullable(limit);
    }

    private static BrittleLimit createLimit(Upstream upstream, int maxRejections, long nowMillis) {
        return new BrittleLimit(upstream.entry(), upstream.lastReceivedMillis() == 0, maxRejections, nowMillis);
    }

    /**
     * Replaces the reports of a peer. The peer knows nothing of upstreams that are missing.
     *
     * @param peer the name of the peer
     * @param reports its reports
     * @param upstreams the table of upstreams; reports about unknown processes are ignored
     * @param nowMillis the current time in milliseconds
     */
    public void applyPeer(String peer, List<BrittleReport> reports, UpstreamTable upstreams, long nowMillis) {
        if (limitByProcess.isEmpty() && reports.isEmpty()) {
            return;
        }
        Set<String> reported = new HashSet<>();
        for (BrittleReport report : reports) {
            upstreams
                    .findProcess(report.process())
                    .ifPresent(upstream -> applyReport(peer, report, upstream, nowMillis));
            reported.add(report.process());
        }
        limitByProcess.forEach((process, limit) -> {
            if (!reported.contains(process)) {
                limit.removePeer(peer);
            }
            urgent |= limit.withholdsRoom();
        });
    }

    private void applyReport(String peer, BrittleReport report, Upstream upstream, long nowMillis) {
        long statedMillis = nowMillis - report.ageMillis();
        boolean isOutdated = statedMillis <= soundMillisByProcess.getOrDefault(report.process(), Long.MIN_VALUE);
        if (isOutdated || report.ageMillis() >= STATEMENT_TIMEOUT_MILLIS) {
            return;
        }
        recordStatement(upstream, report.maxRejections(), statedMillis, nowMillis);
        limitByProcess.get(report.process()).putPeer(peer, report, nowMillis);
    }

    /**
     * Divides the room among the gateways, and forgets upstreams that are gone or no longer brittle.
     *
     * @param upstreams the known upstreams
     * @param cluster the gateways
     * @param waitingByService returns the number of requests of a service that wait for room at this gateway
     * @param nowMillis the current time in milliseconds
     */
    public void divide(
            Collection<Upstream> upstreams, Cluster cluster, ToIntFunction<String> waitingByService, long nowMillis) {
        urgent = false;
        soundMillisByProcess.values().removeIf(millis -> nowMillis - millis >= STATEMENT_TIMEOUT_MILLIS);
        if (isEmpty()) {
            return;
        }
        Map<String, Upstream> byProcess = new HashMap<>();
        upstreams.forEach(upstream -> byProcess.put(upstream.entry().process(), upstream));
        removeEnded(byProcess.keySet(), nowMillis);
        byProcess.values().forEach(upstream -> limit(upstream, nowMillis));
        Map<String, Integer> brittleByService = new HashMap<>();
        limitByProcess
                .values()
                .forEach(limit -> brittleByService.merge(limit.upstream().service(), 1, Integer::sum));
        var gateways = new BrittleLimit.Cluster(
                cluster.name(), cluster.gateways(), cluster.noticeMillis(), cluster.wallMillis() / TURN_MILLIS);
        limitByProcess.forEach((process, limit) -> {
            String service = limit.upstream().service();
            int waiting = waitingByService.applyAsInt(service);
            int count = brittleByService.get(service);
            limit.divide(
                    byProcess.get(process).load().local().inFlight(),
                    (waiting + count - 1) / count,
                    gateways,
                    nowMillis);
        });
    }

    /**
     * The gateways among which the room of upstreams is divided.
     *
     * @param name the name of this gateway, by which its peers know it
     * @param gateways the estimated number of gateways, including this one
     * @param noticeMillis the time in which a message reaches all peers even if one is lost, in milliseconds
     * @param wallMillis the current time in milliseconds since the epoch
     */
    public record Cluster(String name, int gateways, long noticeMillis, long wallMillis) {}

    private void removeEnded(Set<String> processes, long nowMillis) {
        limitByProcess.entrySet().removeIf(entry -> {
            BrittleLimit limit = entry.getValue();
            boolean isGone = !processes.contains(entry.getKey());
            boolean isOld = limit.isStated() && nowMillis - limit.statedMillis() >= STATEMENT_TIMEOUT_MILLIS;
            if (limit.isStated() && (isGone || isOld)) {
                report(ChangeKind.ENDED, limit, nowMillis);
            }
            return isGone || isOld;
        });
        statementByService.values().removeIf(statement -> nowMillis >= statement.expiryMillis());
        limitByProcess
                .values()
                .removeIf(limit ->
                        !statementByService.containsKey(limit.upstream().service()));
    }

    /**
     * Returns the reports about this gateway for its peers.
     *
     * @param nowMillis the current time in milliseconds
     * @return one report for each upstream that states a number
     */
    public List<BrittleReport> reports(long nowMillis) {
        return limitByProcess.values().stream()
                .filter(BrittleLimit::isStated)
                .map(limit -> limit.report(nowMillis))
                .toList();
    }

    /**
     * Returns the reports about this gateway and some of its peers together.
     *
     * @param included returns whether the peer with a name is included
     * @param nowMillis the current time in milliseconds
     * @return one report for each upstream that states a number
     */
    public List<BrittleReport> reports(Predicate<String> included, long nowMillis) {
        return limitByProcess.values().stream()
                .filter(BrittleLimit::isStated)
                .map(limit -> limit.report(included, nowMillis))
                .toList();
    }

    /**
     * Returns whether the room should be divided and reported before the next regular message.
     *
     * @return true if a gateway waits for room that may be free
     */
    public boolean isUrgent() {
        return urgent;
    }

    /**
     * Returns the changes since the last call.
     *
     * @return the changes in their order
     */
    public List<Change> takeUnreported() {
        List<Change> changes = List.copyOf(unreported);
        unreported.clear();
        return changes;
    }

    /**
     * Returns the number of upstreams that state a number.
     *
     * @return the number of processes
     */
    public long statedCount() {
        return limitByProcess.values().stream().filter(BrittleLimit::isStated).count();
    }

    /**
     * Returns the number of malformed notices.
     *
     * @return the number since the gateway was started
     */
    public long malformedNotices() {
        return malformedNotices;
    }

    /**
     * Returns the number of rejections by brittle upstreams.
     *
     * @return the number since the gateway was started
     */
    public long rejections() {
        return rejections;
    }

    private void report(ChangeKind kind, BrittleLimit limit, long nowMillis) {
        if (unreported.size() < MAX_UNREPORTED) {
            unreported.add(new Change(kind, limit.upstream(), limit.maxRejections(), limit.room(nowMillis)));
        }
    }
}
