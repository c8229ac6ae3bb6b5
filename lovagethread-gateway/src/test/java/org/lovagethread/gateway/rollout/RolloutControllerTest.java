package org.lovagethread.gateway.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.config.ConfigurationDecoder;
import org.lovagethread.gateway.config.GatewayConfiguration;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.policy.ZoneTopology;
import org.lovagethread.gateway.store.EraStore;
import org.lovagethread.gateway.store.FakeStore;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.ObjectStore;
import org.lovagethread.gateway.store.StoredObject;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** The lease holder's work on orders, with a store that fails in one way at a time. */
class RolloutControllerTest {
    private static final long DURATION = 12_000;
    private static final long CLUSTER_OFFSET = 5_000_000;
    private static final ZoneTopology ZONES = new ZoneTopology("a", Map.of("a", "r"));
    private static final RolloutLog LOG = new RolloutLog(new EventLog("g", new ByteArrayOutputStream()));

    private final FakeStore store = new FakeStore();
    private long now = 100_000;

    /** A gateway with its own table, which may hold the lease. */
    private final class Node implements ConfigurationDecoder {
        final EraStore eraStore = new EraStore(store, new EventLog("g", new ByteArrayOutputStream()));
        final RolloutTable table;
        final RolloutOrders orders;
        final RolloutController controller;
        OptionalLong token = OptionalLong.empty();

        Node(String name) {
            table = new RolloutTable(Optional.of(new RolloutBounds(0.1, 50, 5_000)), ZONES, name, () -> 0.5, LOG);
            orders = new RolloutOrders(this, table, () -> now, LOG);
            controller = new RolloutController(
                    eraStore, this, table, orders, LOG, () -> now, () -> now + CLUSTER_OFFSET, () -> token);
        }

        /** Reads the order as a watch delivers it. */
        Node watch() {
            eraStore.read(ObjectKind.ROLLOUTS, "desk", reply -> reply.value().ifPresent(orders::apply));
            return this;
        }

        /** Lists the orders as a watch does at its start. */
        Node list() {
            eraStore.list(
                    ObjectKind.ROLLOUTS,
                    "",
                    reply -> orders.onListing(
                            reply.value().orElseThrow().objects(),
                            reply.value().orElseThrow().revision()));
            return this;
        }

        Node hold(long fencingToken) {
            token = OptionalLong.of(fencingToken);
            return this;
        }

        RolloutStage stage() {
            return table.stage("desk").orElseThrow();
        }

        @Override
        public Either<String, GatewayConfiguration> decodeConfiguration(JsonNode content) {
            return Either.left("unused");
        }

        @Override
        public Either<String, UpstreamEntry> decodeUpstream(StoredObject object) {
            return Either.left("unused");
        }

        @Override
        public Either<String, RolloutOrder> decodeRollout(StoredObject object) {
            if (!object.content().has("target")) {
                return Either.left("no target");
            }
            String target = object.content().path("target").asText();
            boolean ofTarget = object.status().path("target").asText().equals(target);
            String state = ofTarget ? object.status().path("state").asText() : "";
            Optional<RolloutStage> end = state.isEmpty() || state.equals("running")
                    ? Optional.empty()
                    : Optional.of(RolloutStage.valueOf(state));
            return Either.right(new RolloutOrder(object.name(), target, DURATION, state.equals("running"), end));
        }

        @Override
        public JsonNode encodeRolloutStatus(String target, Optional<RolloutStage> end) {
            return JsonNodeFactory.instance
                    .objectNode()
                    .put("state", end.map(RolloutStage::name).orElse("running"))
                    .put("target", target);
        }
    }

    private void order(String target) {
        JsonNode spec = JsonNodeFactory.instance.objectNode().put("target", target);
        store.remove(ObjectKind.ROLLOUTS, "desk", reply -> {});
        store.create(ObjectKind.ROLLOUTS, "desk", spec, reply -> {});
    }

    private String status() {
        StringBuilder text = new StringBuilder();
        store.read(ObjectKind.ROLLOUTS, "desk", reply -> reply.value()
                .ifPresent(object -> text.append(object.status().path("state").asText())));
        return text.toString();
    }

    /** Reports of a peer in which both versions respond equally, apart from the failures of the target version. */
    private void report(Node node, String target, int failuresOfTen) {
        VersionStatistics statistics = new VersionStatistics();
        long responses = 10 + now % 100_000 / 20;
        for (int group = 0; group <= VersionStatistics.CONTROL; group++) {
            long[] counts = new long[VersionStatistics.COUNTS];
            counts[0] = group == VersionStatistics.CONTROL ? 0 : responses * failuresOfTen / 10;
            counts[5] = responses - counts[0];
            counts[VersionStatistics.SENT] = responses;
            statistics.raise("r", group, counts);
        }
        Rollout rollout = node.table.find("desk").orElseThrow();
        assertThat(rollout.target()).isEqualTo(target);
        for (String peer : List.of("p1", "p2", "p3", "p4", "p5")) {
            node.table.applyReport(peer, new RolloutReport(rollout, RolloutStage.CANARY, 0, statistics), now);
        }
    }

    private void run(Node node, long millis, String target, int failuresOfTen) {
        for (long end = now + millis; now < end; now += 100) {
            report(node, target, failuresOfTen);
            node.table.tick(6, now);
            node.controller.tick();
        }
    }

    private static List<Upstream> upstreams() {
        return List.of(upstream("a", "v1"), upstream("b", "v1"), upstream("c", "v2"), upstream("d", "v2"));
    }

    private static Upstream upstream(String id, String version) {
        return new Upstream(new UpstreamEntry(id, "desk", "10.0.0.1", 80, "a", 6, false, false, 1, version));
    }

    private List<String> versions(Node node) {
        return node
                .table
                .candidates("desk", upstreams(), new RolloutTable.RequestKind(true, false), now)
                .preferred()
                .stream()
                .map(upstream -> upstream.entry().version())
                .distinct()
                .toList();
    }

    @Nested
    class Verdicts {
        @Test
        void goodVersionsAreRunningThenCompletedBeforeTheDeadline() {
            order("v2");
            Node node = new Node("g").watch().hold(1);
            run(node, 1_000, "v2", 0);
            assertThat(status()).isEqualTo("running");
            run(node, 6_500, "v2", 0);
            assertThat(node.stage()).isEqualTo(RolloutStage.CANARY);
            run(node, 1_500, "v2", 0);
            assertThat(node.stage()).isEqualTo(RolloutStage.SHIFTING);
            assertThat(status()).isEqualTo("running");
            run(node, 2_000, "v2", 0);
            assertThat(status()).isEqualTo("COMPLETED");
            assertThat(versions(node)).containsExactly("v2");
        }

        @Test
        void badVersionsAreRolledBackAndGetNothingMore() {
            order("v2");
            Node node = new Node("g").watch().hold(1);
            run(node, 3_000, "v2", 4);
            assertThat(status()).isEqualTo("ROLLED_BACK");
            assertThat(versions(node)).containsExactly("v1");
        }

        /** Guards against a version that is completed although nobody saw how it responds. */
        @Test
        void versionsWithoutResponsesAreRolledBack() {
            order("v2");
            Node node = new Node("g").watch().hold(1);
            for (; now < 112_000; now += 100) {
                node.table.tick(6, now);
                node.controller.tick();
            }
            assertThat(status()).isEqualTo("ROLLED_BACK");
        }

        /** Guards against a gateway without the lease that writes. */
        @Test
        void onlyTheHolderWrites() {
            order("v2");
            Node node = new Node("g").watch();
            run(node, 11_000, "v2", 0);
            assertThat(status()).isEmpty();
            assertThat(node.stage()).isEqualTo(RolloutStage.CANARY);
        }
    }

    @Nested
    class HoldersKilled {
        /** Guards against a successor that starts again or decides differently. */
        @Test
        void afterTheDecisionWasStoredAreSucceededByOneThatWritesTheSameVerdict() {
            order("v2");
            Node first = new Node("g1").watch().hold(1);
            run(first, 2_000, "v2", 0);
            StoredObject[] record = new StoredObject[1];
            store.read(
                    ObjectKind.DUTIES,
                    "rollout-desk",
                    reply -> record[0] = reply.value().orElseThrow());
            RolloutRecord decided = RolloutRecord.decode(record[0].content()).orElseThrow();
            store.replace(
                    ObjectKind.DUTIES,
                    record[0],
                    decided.withStage(RolloutStage.ROLLED_BACK, 1).encode(),
                    r -> {});
            Node second = new Node("g2").watch().hold(2);
            run(second, 1_000, "v2", 0);
            assertThat(status()).isEqualTo("ROLLED_BACK");
            assertThat(second.stage()).isEqualTo(RolloutStage.ROLLED_BACK);
        }

        @Test
        void whileShiftingAreSucceededByOneThatContinuesWithTheStoredDeadline() {
            order("v2");
            Node first = new Node("g1").watch().hold(1);
            run(first, 8_500, "v2", 0);
            assertThat(first.stage()).isEqualTo(RolloutStage.SHIFTING);
            Node second = new Node("g2").watch().hold(2);
            run(second, 200, "v2", 0);
            assertThat(second.stage()).isEqualTo(RolloutStage.SHIFTING);
            run(second, 2_300, "v2", 0);
            assertThat(status()).isEqualTo("COMPLETED");
            assertThat(now).isLessThan(100_000 + DURATION);
        }

        /** Guards against a holder that was replaced and still acts on its own view. */
        @Test
        void thatReturnDoNotOverrideTheirSuccessor() {
            order("v2");
            Node first = new Node("g1").watch().hold(1);
            run(first, 2_000, "v2", 0);
            Node second = new Node("g2").watch().hold(2);
            run(second, 7_000, "v2", 0);
            assertThat(second.stage()).isEqualTo(RolloutStage.SHIFTING);
            run(first, 500, "v2", 8);
            assertThat(status()).isEqualTo("running");
        }
    }

    @Nested
    class StoreFaults {
        /** Guards against a write that is repeated or contradicted because its reply was lost. */
        @Test
        void lostRepliesAreResolvedByReading() {
            order("v2");
            Node node = new Node("g").watch().hold(1);
            store.setWriteRepliesDropped(true);
            run(node, 11_500, "v2", 0);
            assertThat(status()).isEqualTo("COMPLETED");
            assertThat(node.stage()).isEqualTo(RolloutStage.COMPLETED);
        }

        /** Guards against traffic that is shifted without a stored decision, or a rollout that never ends. */
        @Test
        void anAbsentStoreKeepsTheCanaryStageAndThenRollsBack() {
            order("v2");
            Node node = new Node("g").watch().hold(1);
            store.setUnavailable(true);
            run(node, 13_000, "v2", 0);
            assertThat(node.stage()).isEqualTo(RolloutStage.CANARY);
            assertThat(versions(node)).containsExactly("v1");
            store.setUnavailable(false);
            run(node, 1_000, "v2", 0);
            assertThat(status()).isEqualTo("ROLLED_BACK");
        }

        @Test
        void slowRepliesAreAwaited() {
            order("v2");
            Node node = new Node("g").watch().hold(1);
            store.setRepliesDelayed(true);
            for (int i = 0; i < 23; i++) {
                run(node, 500, "v2", 0);
                store.setRepliesDelayed(false);
                store.setRepliesDelayed(true);
            }
            store.setRepliesDelayed(false);
            assertThat(status()).isEqualTo("COMPLETED");
            assertThat(now).isLessThan(100_000 + DURATION);
        }
    }

    /** The store comes back from a copy of before the verdict, after which the target version responds well. */
    @Nested
    class RestoredStore {
        private void rollBackAndRestore(FakeStore.Copy copy, Node node) {
            run(node, 3_000, "v2", 5);
            assertThat(status()).isEqualTo("ROLLED_BACK");
            store.restore(copy);
            node.token = OptionalLong.empty();
            node.controller.tick();
            node.watch().hold(2);
            run(node, 3_000, "v2", 0);
        }

        @Test
        void doesNotReverseVerdictOfOrderThatHadNotBeenTakenUp() {
            order("v2");
            FakeStore.Copy copy = store.copy();
            Node node = new Node("g").watch().hold(1);
            rollBackAndRestore(copy, node);
            assertThat(status()).isEqualTo("ROLLED_BACK");
            assertThat(versions(node)).containsExactly("v1");
        }

        @Test
        void doesNotLoseVerdictOfRunningOrder() {
            order("v2");
            Node node = new Node("g").watch().hold(1);
            run(node, 500, "v2", 0);
            assertThat(status()).isEqualTo("running");
            rollBackAndRestore(store.copy(), node);
            assertThat(status()).isEqualTo("ROLLED_BACK");
            assertThat(versions(node)).containsExactly("v1");
        }

        @Test
        void doesNotRollBackOrderThatIsWrittenAgain() {
            FakeStore.Copy before = store.copy();
            order("v2");
            Node node = new Node("g").list().hold(1);
            run(node, 500, "v2", 0);
            store.restore(before);
            node.token = OptionalLong.empty();
            node.controller.tick();
            node.list();
            order("v2");
            node.watch().hold(2);
            run(node, 11_500, "v2", 0);
            assertThat(status()).isEqualTo("COMPLETED");
        }

        @Test
        void rollsBackOrderThatIsNotWrittenAgain() {
            FakeStore.Copy before = store.copy();
            order("v2");
            Node node = new Node("g").list().hold(1);
            run(node, 500, "v2", 0);
            store.restore(before);
            node.token = OptionalLong.empty();
            node.controller.tick();
            node.list().hold(2);
            run(node, 7_000, "v2", 0);
            assertThat(node.stage()).isEqualTo(RolloutStage.ROLLED_BACK);
            assertThat(versions(node)).containsExactly("v1");
        }

        @Test
        void letsLaterOrderNameSameTargetAgain() {
            order("v2");
            FakeStore.Copy copy = store.copy();
            Node node = new Node("g").watch().hold(1);
            rollBackAndRestore(copy, node);
            order("v2");
            node.watch();
            run(node, 11_500, "v2", 0);
            assertThat(status()).isEqualTo("COMPLETED");
        }
    }

    @Nested
    class Orders {
        @Test
        void followEachOther() {
            order("v2");
            Node node = new Node("g").watch().hold(1);
            run(node, 3_000, "v2", 5);
            assertThat(status()).isEqualTo("ROLLED_BACK");
            order("v3");
            node.watch();
            assertThat(node.stage()).isEqualTo(RolloutStage.CANARY);
            run(node, 11_500, "v3", 0);
            assertThat(status()).isEqualTo("COMPLETED");
        }

        /** Guards against a second order for the same target that inherits the verdict of the first. */
        @Test
        void mayNameTheSameTargetAgain() {
            order("v2");
            Node node = new Node("g").watch().hold(1);
            run(node, 3_000, "v2", 5);
            assertThat(status()).isEqualTo("ROLLED_BACK");
            run(node, 300, "v2", 5);
            order("v2");
            node.watch();
            assertThat(node.stage()).isEqualTo(RolloutStage.CANARY);
            run(node, 11_500, "v2", 0);
            assertThat(status()).isEqualTo("COMPLETED");
        }

        /** Guards against a removed order whose target version continues to receive requests. */
        @Test
        void thatAreRemovedStopTheTraffic() {
            order("v2");
            Node node = new Node("g").watch().hold(1);
            run(node, 2_000, "v2", 0);
            store.remove(ObjectKind.ROLLOUTS, "desk", reply -> {});
            node.orders.onChange(
                    new ObjectStore.Change(new StoredObject("desk", 99, JsonNodeFactory.instance.objectNode()), true),
                    99);
            assertThat(node.stage()).isEqualTo(RolloutStage.ROLLED_BACK);
            assertThat(versions(node)).containsExactly("v1");
        }

        /** Guards against an unreadable change that ends or alters the running rollout. */
        @Test
        void thatCannotBeReadChangeNothing() {
            order("v2");
            Node node = new Node("g").watch().hold(1);
            run(node, 1_000, "v2", 0);
            node.orders.apply(StoredObject.unreadable("desk", 500, "garbage"));
            node.orders.apply(new StoredObject("desk", 501, JsonNodeFactory.instance.objectNode()));
            assertThat(node.stage()).isEqualTo(RolloutStage.CANARY);
            assertThat(node.table.find("desk").orElseThrow().target()).isEqualTo("v2");
        }
    }
}
