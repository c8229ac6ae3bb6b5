package org.lovagethread.gateway.duty;

import java.util.SplittableRandom;

/** Faults of a schedule. */
enum LeaseFault {
    /** The store comes back from older copies, up to three times in a row, perhaps after a time away. */
    RESTORE {
        @Override
        void strike(LeaseModel model, LeaseNode node, SplittableRandom plan) {
            int count = plan.nextInt(3) == 0 ? plan.nextInt(2, 4) : 1;
            for (int i = 0; i < count; i++) {
                long delayMillis = i == 0 ? 0 : model.duration(plan, 20, 1_500);
                model.time().after(delayMillis, () -> restore(model, plan));
            }
        }
    },
    /** All processes are killed, and the store comes back from older copies while none is there. */
    RESTORE_WITHOUT_GATEWAYS {
        @Override
        void strike(LeaseModel model, LeaseNode node, SplittableRandom plan) {
            KILL_ALL.strike(model, node, plan);
            RESTORE.strike(model, node, plan);
        }
    },
    /** A process is killed and starts again. */
    KILL {
        @Override
        void strike(LeaseModel model, LeaseNode node, SplittableRandom plan) {
            node.kill(plan.nextLong(200, 4_000));
        }
    },
    /** All processes are killed and start again. */
    KILL_ALL {
        @Override
        void strike(LeaseModel model, LeaseNode node, SplittableRandom plan) {
            model.nodes().forEach(each -> each.kill(plan.nextLong(200, 4_000)));
        }
    },
    /** A process does not run for a time. */
    FREEZE {
        @Override
        void strike(LeaseModel model, LeaseNode node, SplittableRandom plan) {
            long untilMillis = model.time().nowMillis() + model.duration(plan, 50, 8_000);
            node.process().ifPresent(process -> process.freeze(untilMillis));
        }
    },
    /** An instance and its monotonic clock stand still for a time. */
    SUSPEND {
        @Override
        void strike(LeaseModel model, LeaseNode node, SplittableRandom plan) {
            node.suspend(model.duration(plan, 50, 8_000));
        }
    },
    /** The wall clock jumps, and perhaps jumps back. */
    STEP_CLOCK {
        @Override
        void strike(LeaseModel model, LeaseNode node, SplittableRandom plan) {
            long stepMillis = plan.nextLong(-2_400, 2_401);
            node.stepWallClock(stepMillis);
            if (plan.nextBoolean()) {
                model.time().after(model.duration(plan, 50, 8_000), () -> node.stepWallClock(-stepMillis));
            }
        }
    },
    /** A gateway is cut off from the store, and perhaps from the receiver of duty calls. */
    CUT {
        @Override
        void strike(LeaseModel model, LeaseNode node, SplittableRandom plan) {
            StoreLink.Cut[] kinds = {StoreLink.Cut.DROPS_CALLS, StoreLink.Cut.HOLDS_CALLS, StoreLink.Cut.DROPS_REPLIES};
            node.cut(kinds[plan.nextInt(kinds.length)], plan.nextBoolean(), model.duration(plan, 50, 8_000));
        }
    },
    /** The store is away for a time. */
    STORE_AWAY {
        @Override
        void strike(LeaseModel model, LeaseNode node, SplittableRandom plan) {
            model.store().leave(model.duration(plan, 50, 6_000));
        }
    },
    /** A process stops as planned and starts again. */
    STOP {
        @Override
        void strike(LeaseModel model, LeaseNode node, SplittableRandom plan) {
            node.process().ifPresent(LeaseProcess::release);
            long stopMillis = plan.nextLong(3_000);
            long restartMillis = plan.nextLong(200, 4_000);
            node.process().ifPresent(process -> model.time().after(stopMillis, () -> {
                if (process.isAlive()) {
                    node.kill(restartMillis);
                }
            }));
        }
    };

    private static final int INITIAL_COPY_IN = 10;

    /** Lets the fault begin. */
    abstract void strike(LeaseModel model, LeaseNode node, SplittableRandom plan);

    /** Returns whether the store comes back from an older copy. */
    boolean isRestore() {
        return this == RESTORE || this == RESTORE_WITHOUT_GATEWAYS;
    }

    private static void restore(LeaseModel model, SplittableRandom plan) {
        if (plan.nextBoolean()) {
            model.store().leave(model.duration(plan, 50, 2_000));
        }
        if (plan.nextInt(INITIAL_COPY_IN) == 0) {
            model.store().restoreInitialState();
        } else {
            model.store().restore(plan.nextLong(200, 10_000));
        }
    }
}
