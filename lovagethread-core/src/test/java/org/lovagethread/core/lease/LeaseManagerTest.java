package org.lovagethread.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.core.CoreSettings;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.command.Outbox;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.Lease;
import org.lovagethread.core.store.StoreStatus;

/** Tests {@link LeaseManager}. */
class LeaseManagerTest {
    private static final long STEP_MILLIS = 100;
    private static final Lease OTHER_NODES_LEASE = new Lease("node-9#1#1", "node-9", 5, 3);

    private final Outbox out = new Outbox();
    private final LeaseManager manager =
            new LeaseManager(CoreSettings.builder("node-1").address("h:1").build(), out);
    private long now = 1_000_000;

    /** Ticks at regular intervals for a period and returns the resulting commands. */
    private List<Command> tick(long millis) {
        for (long until = now + millis; now < until; now += STEP_MILLIS) {
            manager.onTick(true, now);
        }
        return out.drain();
    }

    private void reply(long operationId, StoreStatus status, long version, Lease lease) {
        manager.onReply(new Event.LeaseReplied(operationId, status, version, Optional.ofNullable(lease)), now);
    }

    private void acquire() {
        Command.ReadLease read = (Command.ReadLease) tick(STEP_MILLIS).get(0);
        reply(read.operationId(), StoreStatus.MISSING, 0, null);
        Command.WriteLease write = (Command.WriteLease) out.drain().get(0);
        reply(write.operationId(), StoreStatus.WRITTEN, 1, null);
    }

    @Nested
    class Holding {
        @Test
        void expiresOneLeaseDurationAfterTheWriteWasSent() {
            acquire();
            assertThat(manager.heldLease(now + LeaseManager.LEASE_DURATION_MILLIS - 1))
                    .isPresent();
            assertThat(manager.heldLease(now + LeaseManager.LEASE_DURATION_MILLIS))
                    .isEmpty();
        }

        @Test
        void isNotExtendedByADelayedReply() {
            acquire();
            Command.WriteLease renewal = (Command.WriteLease)
                    tick(LeaseManager.RENEWAL_INTERVAL_MILLIS + STEP_MILLIS).get(0);
            long sent = now - STEP_MILLIS;
            tick(3_000);
            reply(renewal.operationId(), StoreStatus.WRITTEN, 2, null);
            assertThat(manager.heldLease(sent + LeaseManager.LEASE_DURATION_MILLIS))
                    .isEmpty();
        }

        @Test
        void isAbandonedAfterASuspensionBeforeItsExpiry() {
            acquire();
            now += LeaseManager.SUSPENSION_THRESHOLD_MILLIS + STEP_MILLIS;
            manager.onTick(true, now);
            assertThat(manager.heldLease(now)).isEmpty();
        }

        @Test
        void limitsOrderDeadlinesToTheLeaseExpiry() {
            acquire();
            long nearExpiry = now + LeaseManager.LEASE_DURATION_MILLIS - 10;
            assertThat(manager.orderDeadline(nearExpiry)).isLessThanOrEqualTo(now + LeaseManager.LEASE_DURATION_MILLIS);
            assertThat(manager.orderDeadline(now)).isEqualTo(now + LeaseManager.MAX_ORDER_DELAY_MILLIS);
        }

        @Test
        void countsFromTheFirstWriteWhenItsReplyWasLost() {
            acquire();
            long sent = now + LeaseManager.RENEWAL_INTERVAL_MILLIS;
            Command.WriteLease renewal = (Command.WriteLease)
                    tick(LeaseManager.RENEWAL_INTERVAL_MILLIS + STEP_MILLIS).get(0);
            reply(renewal.operationId(), StoreStatus.NO_ANSWER, 0, null);
            Command.WriteLease retry = (Command.WriteLease) tick(1_500).get(0);
            reply(retry.operationId(), StoreStatus.CONFLICT, 2, renewal.lease());
            assertThat(manager.heldLease(now)).contains(renewal.lease());
            assertThat(manager.heldLease(sent + LeaseManager.LEASE_DURATION_MILLIS))
                    .isEmpty();
        }
    }

    @Nested
    class Takeover {
        /** Answers reads with an unchanged lease of another node for a period and returns the resulting writes. */
        private List<Command.WriteLease> observeUnchangedLease(long millis) {
            List<Command.WriteLease> writes = new ArrayList<>();
            long until = now + millis;
            while (now < until) {
                for (Command command : tick(STEP_MILLIS)) {
                    if (command instanceof Command.ReadLease read) {
                        reply(read.operationId(), StoreStatus.FOUND, 7, OTHER_NODES_LEASE);
                    } else if (command instanceof Command.WriteLease write) {
                        writes.add(write);
                    }
                }
            }
            return writes;
        }

        @Test
        void waitsForTheLeaseDurationAndTheMaxOrderDelay() {
            assertThat(observeUnchangedLease(LeaseManager.LEASE_DURATION_MILLIS + LeaseManager.MAX_ORDER_DELAY_MILLIS))
                    .isEmpty();
        }

        @Test
        void incrementsTheFencingToken() {
            long takeoverMillis = LeaseManager.LEASE_DURATION_MILLIS
                    + LeaseManager.MAX_ORDER_DELAY_MILLIS
                    + 2 * LeaseManager.RENEWAL_INTERVAL_MILLIS;
            List<Command.WriteLease> writes = observeUnchangedLease(takeoverMillis);
            assertThat(writes).isNotEmpty();
            assertThat(writes.get(0).expectedVersion()).isEqualTo(7);
            assertThat(writes.get(0).lease().fence()).isEqualTo(OTHER_NODES_LEASE.fence() + 1);
        }
    }
}
