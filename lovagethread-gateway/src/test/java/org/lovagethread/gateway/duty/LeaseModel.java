package org.lovagethread.gateway.duty;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Several gateways that hold the lease in turn, in virtual time, under faults that a seed determines. */
final class LeaseModel {
    private static final long LENGTH_MILLIS = 60_000;
    private static final long QUIET_MILLIS = 20_000;
    private static final long RECOVERY_MILLIS = 5_000;
    private static final long MAX_START_MILLIS = 300;
    private static final long CANDIDACY_MILLIS = 3_000;

    private final long seed;
    private final boolean hasRestores;
    private final boolean endsQuietly;
    private final SplittableRandom random;
    private final VirtualTime time = new VirtualTime();
    private final RestoredStore store;
    private final DutyPlatform platform = new DutyPlatform(time);
    private final Candidacy candidacy;
    private final boolean readsOtherObjects;
    private final double slowDutyShare;
    private final StoreLink.Quality quality;
    private final List<LeaseNode> nodes = new ArrayList<>();
    private final List<PlannedFault> faults = new ArrayList<>();
    private final List<String> trace = new ArrayList<>();

    /** Which gateways are candidates for the lease. */
    enum Candidacy {
        /** All gateways. */
        ALL,
        /** Those that know no older peer. */
        PREFERRED,
        /** Now some, now others. */
        CHANGING
    }

    /** Fault at a time, which hits the holder or a certain node. */
    private record PlannedFault(LeaseFault fault, long atMillis, boolean hitsHolder, int node, long seed) {}

    /**
     * Result of a schedule.
     *
     * @param seed determines the schedule
     * @param restores the number of faults in which the store came back from an older copy
     * @param terms the number of terms in which duty calls were sent
     * @param calls the number of duty calls
     * @param violations the first violation of each kind
     * @param trace the faults
     */
    record Result(
            long seed,
            int restores,
            int terms,
            int calls,
            Map<DutyPlatform.Violation, String> violations,
            List<String> trace) {}

    /**
     * Creates a schedule.
     *
     * @param seed determines the schedule
     * @param hasRestores whether the store may come back from an older copy
     */
    LeaseModel(long seed, boolean hasRestores) {
        this.seed = seed;
        this.hasRestores = hasRestores;
        SplittableRandom plan = new SplittableRandom(seed);
        this.random = plan.split();
        this.endsQuietly = plan.nextInt(3) > 0;
        boolean namesEras = hasRestores || plan.nextBoolean();
        long otherChanges = plan.nextBoolean() ? 0 : plan.nextLong(1, 20);
        this.store = new RestoredStore(time, plan.nextLong(1, 1_000), namesEras, otherChanges);
        this.candidacy = any(Candidacy.values(), plan);
        this.readsOtherObjects = plan.nextBoolean();
        this.slowDutyShare = plan.nextDouble() / 2;
        this.quality = new StoreLink.Quality(
                share(plan), share(plan), share(plan), plan.nextInt(50, 1_500), faultsEndMillis());
        int nodeCount = plan.nextInt(3, 5);
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new LeaseNode(this, i, plan));
        }
        planFaults(plan);
    }

    private static double share(SplittableRandom plan) {
        return plan.nextBoolean() ? 0 : plan.nextDouble() / 5;
    }

    private static <T> T any(T[] values, SplittableRandom plan) {
        return values[plan.nextInt(values.length)];
    }

    private void planFaults(SplittableRandom plan) {
        int count = plan.nextInt(2, 14);
        for (int i = 0; i < count; i++) {
            LeaseFault fault = any(LeaseFault.values(), plan);
            PlannedFault planned = new PlannedFault(
                    fault,
                    plan.nextLong(500, faultsEndMillis() - 1),
                    plan.nextBoolean(),
                    plan.nextInt(nodes.size()),
                    plan.nextLong());
            if (hasRestores || !fault.isRestore()) {
                faults.add(planned);
            }
        }
    }

    private long faultsEndMillis() {
        return endsQuietly ? LENGTH_MILLIS - QUIET_MILLIS : LENGTH_MILLIS;
    }

    /** Runs the schedule with all faults. */
    Result run() {
        return run(new BitSet());
    }

    private Result run(BitSet omittedFaults) {
        nodes.forEach(node -> time.after(random.nextLong(MAX_START_MILLIS), node::start));
        for (int i = omittedFaults.nextClearBit(0); i < faults.size(); i = omittedFaults.nextClearBit(i + 1)) {
            PlannedFault planned = faults.get(i);
            time.after(planned.atMillis(), () -> strike(planned));
        }
        time.runUntil(LENGTH_MILLIS);
        if (endsQuietly) {
            checkRecovery();
        }
        int restores = (int)
                faults.stream().filter(planned -> planned.fault().isRestore()).count();
        return new Result(seed, restores, platform.tokenCount(), platform.calls(), platform.violations(), trace);
    }

    /** Returns the result of the schedule with as few of its faults as show a violation. */
    static Result shrink(long seed, boolean hasRestores, DutyPlatform.Violation violation) {
        BitSet omitted = new BitSet();
        BitSet previous;
        do {
            previous = (BitSet) omitted.clone();
            omitFaults(seed, hasRestores, violation, omitted);
        } while (!omitted.equals(previous));
        return new LeaseModel(seed, hasRestores).run(omitted);
    }

    private static void omitFaults(long seed, boolean hasRestores, DutyPlatform.Violation violation, BitSet omitted) {
        int faultCount = new LeaseModel(seed, hasRestores).faults.size();
        for (int i = omitted.nextClearBit(0); i < faultCount; i = omitted.nextClearBit(i + 1)) {
            omitted.set(i);
            Result result = new LeaseModel(seed, hasRestores).run(omitted);
            omitted.set(i, result.violations().containsKey(violation));
        }
    }

    private void strike(PlannedFault planned) {
        LeaseNode node = nodes.stream()
                .filter(each -> planned.hitsHolder() && each.isHolder())
                .findFirst()
                .orElse(nodes.get(planned.node()));
        trace.add(time.nowMillis() + " ms: " + planned.fault() + " " + node);
        planned.fault().strike(this, node, new SplittableRandom(planned.seed()));
    }

    private void checkRecovery() {
        long holders = nodes.stream().filter(LeaseNode::isHolder).count();
        long recentMillis = LENGTH_MILLIS - RECOVERY_MILLIS;
        if (holders != 1 || platform.lastCallMillis() < recentMillis || store.lastWriteMillis() < recentMillis) {
            platform.report(
                    DutyPlatform.Violation.NOT_RECOVERED,
                    holders + " holders, last call at " + platform.lastCallMillis() + " ms, last write at "
                            + store.lastWriteMillis() + " ms");
        }
    }

    /** Returns a duration that ends before the time without faults. */
    long duration(SplittableRandom plan, long minMillis, long maxMillis) {
        return Math.max(0, Math.min(plan.nextLong(minMillis, maxMillis), faultsEndMillis() - time.nowMillis()));
    }

    /** Returns whether a gateway is a candidate, with {@link Candidacy#CHANGING}. */
    boolean isCandidateByChance(LeaseNode node) {
        if (time.nowMillis() > faultsEndMillis()) {
            return true;
        }
        long period = time.nowMillis() / CANDIDACY_MILLIS;
        return new SplittableRandom(seed + period * nodes.size() + nodes.indexOf(node)).nextInt(3) > 0;
    }

    /** Creates the link of a node to the store. */
    StoreLink createLink() {
        return new StoreLink(time, store, random, quality);
    }

    /** Returns the time. */
    VirtualTime time() {
        return time;
    }

    /** Returns the source of chance of everything but the plan of faults. */
    SplittableRandom random() {
        return random;
    }

    /** Returns the store. */
    RestoredStore store() {
        return store;
    }

    /** Returns the receiver of duty calls. */
    DutyPlatform platform() {
        return platform;
    }

    /** Returns the nodes. */
    List<LeaseNode> nodes() {
        return nodes;
    }

    /** Returns which gateways are candidates. */
    Candidacy candidacy() {
        return candidacy;
    }

    /** Returns whether gateways read other objects too, from which they learn of a new era. */
    boolean readsOtherObjects() {
        return readsOtherObjects;
    }

    /** Returns the share of duty calls that take long. */
    double slowDutyShare() {
        return slowDutyShare;
    }
}
