package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.TextNode;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.policy.PromptPrefix;
import org.lovagethread.gateway.policy.PromptQuarantine;
import org.lovagethread.gateway.store.FakeStore;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamTable;

class PromptEvidenceStoreTest {
    private static final PromptPrefix DEADLY = PromptPrefix.parse("common:5,deadly:5,own:1");
    private static final PromptPrefix OTHER = PromptPrefix.parse("common:5,other:5,own:1");
    private static final long TICK_MILLIS = 100;
    private static final long SECOND_MILLIS = 1_000;
    private static final long EPOCH_MILLIS = 1_700_000_000_000L;
    private static final String NAME = "prompt-evidence";

    private final FakeStore store = new FakeStore();
    private final AtomicLong clusterMillis = new AtomicLong(EPOCH_MILLIS);
    private final GatewayProcess first = new GatewayProcess(5_000);

    /** One process of a gateway, whose own clock begins at another time. */
    private final class GatewayProcess {
        private final PromptQuarantine quarantine = new PromptQuarantine();
        private final UpstreamTable upstreams = new UpstreamTable();
        private final long startMillis;
        private final PromptEvidenceStore evidence;

        private GatewayProcess(long nowMillis) {
            startMillis = nowMillis - clusterMillis.get();
            evidence = new PromptEvidenceStore(
                    store,
                    quarantine,
                    this::nowMillis,
                    clusterMillis::get,
                    processed -> {},
                    new EventLog("g", new ByteArrayOutputStream()));
        }

        private long nowMillis() {
            return clusterMillis.get() + startMillis;
        }

        private void run(long millis, boolean holdsLease) {
            for (long end = clusterMillis.get() + millis; clusterMillis.get() < end; ) {
                quarantine.evaluate(upstreams, nowMillis());
                evidence.tick(holdsLease);
                clusterMillis.addAndGet(TICK_MILLIS);
            }
        }

        private void crash(int number) {
            UpstreamEntry upstream =
                    new UpstreamEntry("i-" + number, "pool", "10.0.0.1", 80, "a", 6, false, false, EPOCH_MILLIS);
            quarantine.recordBreak(upstream, DEADLY, false, nowMillis() - 50, nowMillis());
            run(3 * TICK_MILLIS, true);
            for (int i = 0; i < 10; i++) {
                PromptPrefix sound = PromptPrefix.parse("common:5,doc-" + number + "-" + i + ":5,own:1");
                quarantine.recordBeginning("pool", sound, nowMillis());
                quarantine.recordCompletion("pool", sound, nowMillis());
            }
        }

        private void quarantineDeadlyPart() {
            for (int i = 0; i < 8; i++) {
                crash(i);
            }
            run(2 * SECOND_MILLIS, true);
            assertThat(quarantine.isQuarantined(DEADLY)).isTrue();
        }
    }

    private long storedRevision() {
        AtomicLong revision = new AtomicLong(-1);
        store.read(
                ObjectKind.DUTIES, NAME, reply -> reply.value().ifPresent(object -> revision.set(object.revision())));
        return revision.get();
    }

    // All gateways were killed at once, and the part that they had refused crashed upstreams again.
    @Nested
    class AfterTheEndOfAllProcesses {
        @Test
        void partsStayQuarantined() {
            first.quarantineDeadlyPart();
            clusterMillis.addAndGet(6 * SECOND_MILLIS);
            GatewayProcess next = new GatewayProcess(0);
            next.run(SECOND_MILLIS, false);
            assertThat(next.quarantine.isQuarantined(DEADLY)).isTrue();
            assertThat(next.quarantine.isQuarantined(OTHER)).isFalse();
        }

        @Test
        void quarantinesBeginAnewHoweverLongNoProcessRan() {
            first.quarantineDeadlyPart();
            clusterMillis.addAndGet(10 * PromptQuarantine.QUARANTINE_MILLIS);
            GatewayProcess next = new GatewayProcess(0);
            next.run(PromptQuarantine.QUARANTINE_MILLIS - SECOND_MILLIS, true);
            assertThat(next.quarantine.isQuarantined(DEADLY)).isTrue();
            next.run(2 * SECOND_MILLIS, true);
            assertThat(next.quarantine.isQuarantined(DEADLY)).isFalse();
        }

        @Test
        void crashesOfASuspectedPartStillCount() {
            first.crash(0);
            first.crash(1);
            first.run(2 * SECOND_MILLIS, true);
            assertThat(first.quarantine.isSuspected(DEADLY)).isTrue();
            GatewayProcess next = new GatewayProcess(0);
            next.run(SECOND_MILLIS, false);
            assertThat(next.quarantine.isSuspected(DEADLY)).isTrue();
            for (int i = 2; i < 5; i++) {
                next.crash(i);
            }
            next.run(SECOND_MILLIS, true);
            assertThat(next.quarantine.isQuarantined(DEADLY)).isTrue();
        }

        @Test
        void partsThatWereReleasedBeforeAreAccepted() {
            first.quarantineDeadlyPart();
            // After the first minute the part is blamed once more, for the crashes that followed the decision.
            first.run(2 * PromptQuarantine.QUARANTINE_MILLIS + 2 * SECOND_MILLIS, true);
            assertThat(first.quarantine.isQuarantined(DEADLY)).isFalse();
            GatewayProcess next = new GatewayProcess(0);
            next.run(SECOND_MILLIS, false);
            assertThat(next.quarantine.isQuarantined(DEADLY)).isFalse();
        }

        @Test
        void partsStayQuarantinedIfTheStoreIsBackLater() {
            first.quarantineDeadlyPart();
            store.setUnavailable(true);
            GatewayProcess next = new GatewayProcess(0);
            next.run(5 * SECOND_MILLIS, false);
            store.setUnavailable(false);
            next.run(2 * SECOND_MILLIS, false);
            assertThat(next.quarantine.isQuarantined(DEADLY)).isTrue();
        }
    }

    /** The store comes back from a copy of before the quarantine, and then all gateways end. */
    @Nested
    class AfterRestoreOfStore {
        private final FakeStore.Copy empty = store.copy();

        private void restore(GatewayProcess holder) {
            store.restore(empty);
            holder.evidence.onRestore();
            holder.run(2 * SECOND_MILLIS, true);
        }

        @Test
        void partsStayQuarantined() {
            first.quarantineDeadlyPart();
            restore(first);
            GatewayProcess next = new GatewayProcess(0);
            next.run(SECOND_MILLIS, false);
            assertThat(next.quarantine.isQuarantined(DEADLY)).isTrue();
        }

        @Test
        void partsThatAreKnownFromStoreOnlyStayQuarantined() {
            first.quarantineDeadlyPart();
            GatewayProcess second = new GatewayProcess(0);
            second.run(SECOND_MILLIS, false);
            restore(second);
            assertThat(second.quarantine.isQuarantined(DEADLY)).isTrue();
            GatewayProcess next = new GatewayProcess(0);
            next.run(SECOND_MILLIS, false);
            assertThat(next.quarantine.isQuarantined(DEADLY)).isTrue();
        }
    }

    @Nested
    class Writes {
        @Test
        void areNotMadeWithoutEvidence() {
            first.run(60 * SECOND_MILLIS, true);
            assertThat(storedRevision()).isNegative();
        }

        @Test
        void areNotMadeWithoutTheLease() {
            first.quarantineDeadlyPart();
            long revision = storedRevision();
            GatewayProcess other = new GatewayProcess(0);
            for (int i = 20; i < 28; i++) {
                other.quarantine.recordBreak(
                        new UpstreamEntry("i-" + i, "pool", "10.0.0.1", 80, "a", 6, false, false, 1),
                        OTHER,
                        false,
                        other.nowMillis() - 50,
                        other.nowMillis());
                other.run(SECOND_MILLIS, false);
            }
            assertThat(storedRevision()).isEqualTo(revision);
        }

        @Test
        void areRareWhileAQuarantineIsProlonged() {
            first.quarantineDeadlyPart();
            long revision = storedRevision();
            for (int i = 0; i < 300; i++) {
                first.quarantine.recordRefusal(DEADLY, first.nowMillis());
                first.run(SECOND_MILLIS, true);
            }
            long minWrites = 300 * SECOND_MILLIS / PromptQuarantine.QUARANTINE_MILLIS;
            assertThat(storedRevision() - revision).isBetween(minWrites, 2 * minWrites + 1);
            GatewayProcess next = new GatewayProcess(0);
            next.run(SECOND_MILLIS, false);
            assertThat(next.quarantine.isQuarantined(DEADLY)).isTrue();
        }

        @Test
        void replaceWhatCannotBeRead() {
            store.create(ObjectKind.DUTIES, NAME, TextNode.valueOf("odd"), reply -> {});
            first.quarantineDeadlyPart();
            GatewayProcess next = new GatewayProcess(0);
            next.run(SECOND_MILLIS, false);
            assertThat(next.quarantine.isQuarantined(DEADLY)).isTrue();
        }

        @Test
        void succeedAfterAnotherHolderHasWritten() {
            GatewayProcess other = new GatewayProcess(0);
            other.run(SECOND_MILLIS, true);
            first.quarantineDeadlyPart();
            other.quarantine.updatePeer("first", first.quarantine.localEvidence(first.nowMillis()), first.nowMillis());
            other.run(5 * SECOND_MILLIS, true);
            assertThat(other.quarantine.isQuarantined(DEADLY)).isTrue();
        }

        @Test
        void areRepeatedIfTheirReplyIsLost() {
            store.setWriteRepliesDropped(true);
            first.quarantineDeadlyPart();
            store.setWriteRepliesDropped(false);
            first.run(5 * SECOND_MILLIS, true);
            long revision = storedRevision();
            first.run(5 * SECOND_MILLIS, true);
            assertThat(storedRevision()).isEqualTo(revision);
        }
    }
}
