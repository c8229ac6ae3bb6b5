package org.lovagethread.gateway.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
import org.lovagethread.gateway.store.FakeStore;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.StoredObject;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** The lease holder's work on orders that change while it does not watch them, and on verdicts that come late. */
class RolloutTaskTest {
    private static final long DURATION = 12_000;
    private static final long START = 100_000;
    private static final RolloutLog LOG = new RolloutLog(new EventLog("g", new ByteArrayOutputStream()));

    private final FakeStore store = new FakeStore();
    private final Decoder decoder = new Decoder();
    private final RolloutTable table = new RolloutTable(
            Optional.of(new RolloutBounds(0.1, 50, 5_000)),
            new ZoneTopology("a", Map.of("a", "r")),
            "g",
            () -> 0.5,
            LOG);
    private final RolloutOrders orders = new RolloutOrders(decoder, table, this::now, LOG);
    private OptionalLong token = OptionalLong.of(1);
    private long now = START;
    private final RolloutController controller =
            new RolloutController(store, decoder, table, orders, LOG, this::now, this::now, () -> token);

    private long now() {
        return now;
    }

    private static final class Decoder implements ConfigurationDecoder {
        private int statusWrites;

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
            boolean isOfTarget = object.status().path("target").asText().equals(target);
            String state = isOfTarget ? object.status().path("state").asText() : "";
            Optional<RolloutStage> end = state.isEmpty() || state.equals("running")
                    ? Optional.empty()
                    : Optional.of(RolloutStage.valueOf(state));
            return Either.right(new RolloutOrder(object.name(), target, DURATION, state.equals("running"), end));
        }

        @Override
        public JsonNode encodeRolloutStatus(String target, Optional<RolloutStage> end) {
            statusWrites++;
            return JsonNodeFactory.instance
                    .objectNode()
                    .put("state", end.map(RolloutStage::name).orElse("running"))
                    .put("target", target);
        }
    }

    private void write(String target) {
        store.remove(ObjectKind.ROLLOUTS, "desk", reply -> {});
        ObjectNode content = JsonNodeFactory.instance.objectNode().put("target", target);
        store.create(ObjectKind.ROLLOUTS, "desk", content, reply -> {});
    }

    private StoredObject stored(ObjectKind kind, String name) {
        StoredObject[] found = new StoredObject[1];
        store.read(kind, name, reply -> found[0] = reply.value().orElseThrow());
        return found[0];
    }

    private StoredObject order() {
        return stored(ObjectKind.ROLLOUTS, "desk");
    }

    private RolloutRecord record() {
        return RolloutRecord.decode(stored(ObjectKind.DUTIES, "rollout-desk").content())
                .orElseThrow();
    }

    private String status() {
        return order().status().path("state").asText();
    }

    /** Applies the report of the speaker, which watches the store instead of this gateway. */
    private void speakerReports(String target) {
        Rollout rollout = new Rollout("desk", target, order().revision(), DURATION, now + DURATION);
        table.applyReport("speaker", new RolloutReport(rollout, RolloutStage.CANARY, 0, new VersionStatistics()), now);
    }

    private void run(long millis) {
        for (long end = now + millis; now < end; now += 100) {
            table.tick(6, now);
            controller.tick();
        }
    }

    private void decide(RolloutStage stage) {
        StoredObject object = stored(ObjectKind.DUTIES, "rollout-desk");
        store.replace(ObjectKind.DUTIES, object, record().withStage(stage, 1).encode(), reply -> {});
    }

    /** A holder in a cell learns of orders from its speaker only. */
    @Nested
    class WithoutWatch {
        /** Guards against a second rollout that is never taken up, because the first order is still known. */
        @Test
        void aSecondOrderIsTakenUp() {
            write("v2");
            speakerReports("v2");
            run(13_000);
            assertThat(status()).isEqualTo("ROLLED_BACK");
            write("v3");
            speakerReports("v3");
            run(1_000);
            assertThat(status()).isEqualTo("running");
            assertThat(record().target()).isEqualTo("v3");
        }

        /** Guards against a repeated order that inherits the deadline or the status of the first. */
        @Test
        void aRepeatedOrderHasItsOwnDeadline() {
            write("v2");
            speakerReports("v2");
            run(13_000);
            write("v2");
            speakerReports("v2");
            run(1_000);
            assertThat(status()).isEqualTo("running");
            assertThat(record().deadlineMillis()).isEqualTo(START + 13_000 + DURATION);
        }
    }

    @Nested
    class LateVerdicts {
        /** Guards against old upstreams that are stopped while gateways that were cut off still send to them. */
        @Test
        void areWrittenAfterNewRequestsHaveMovedAgain() {
            write("v2");
            orders.apply(order());
            run(1_000);
            token = OptionalLong.empty();
            controller.tick();
            decide(RolloutStage.COMPLETED);
            now = START + DURATION + 500;
            token = OptionalLong.of(2);
            run(4_000);
            assertThat(status()).isEqualTo("running");
            assertThat(table.stage("desk")).contains(RolloutStage.COMPLETED);
            run(2_000);
            assertThat(status()).isEqualTo("COMPLETED");
        }

        /** Guards against requests at the old version that are cut off, because traffic was shifted just before. */
        @Test
        void needTimeInWhichTrafficIsShifted() {
            write("v2");
            orders.apply(order());
            run(1_000);
            token = OptionalLong.empty();
            now = START + 9_800;
            table.advance("desk", RolloutStage.SHIFTING, now - 500);
            assertThat(table.nextStage("desk", START + 10_000)).isEmpty();
            assertThat(table.nextStage("desk", START + 10_800)).contains(RolloutStage.COMPLETED);
        }

        /** Guards against a shift so late that the completion is known to some gateways only after the deadline. */
        @Test
        void thatDoNotFitAreRolledBack() {
            write("v2");
            orders.apply(order());
            table.advance("desk", RolloutStage.SHIFTING, START + 9_700);
            assertThat(table.nextStage("desk", START + 9_700)).contains(RolloutStage.ROLLED_BACK);
        }
    }

    @Nested
    class ChangedOrders {
        /** Guards against the reply to a read for the earlier target that moves the new rollout to its stage. */
        @Test
        void areNotMovedToTheStageOfTheEarlierTarget() {
            write("v2");
            orders.apply(order());
            run(1_000);
            decide(RolloutStage.SHIFTING);
            token = OptionalLong.empty();
            controller.tick();
            token = OptionalLong.of(2);
            store.setRepliesDelayed(true);
            controller.tick();
            Rollout other = new Rollout("desk", "v3", 500, DURATION, now + DURATION);
            table.applyReport("p", new RolloutReport(other, RolloutStage.CANARY, 0, new VersionStatistics()), now);
            store.setRepliesDelayed(false);
            assertThat(table.find("desk").orElseThrow().target()).isEqualTo("v3");
            assertThat(table.stage("desk")).contains(RolloutStage.CANARY);
        }

        /** Guards against endless conflicting writes of the status, without delay, of an order that is unreadable. */
        @Test
        void toSomethingUnreadableGetTheirStatus() {
            write("v2");
            orders.apply(order());
            run(1_000);
            store.replace(ObjectKind.ROLLOUTS, order(), JsonNodeFactory.instance.objectNode(), reply -> {});
            decoder.statusWrites = 0;
            run(14_000);
            assertThat(status()).isEqualTo("ROLLED_BACK");
            assertThat(decoder.statusWrites).isLessThanOrEqualTo(5);
            assertThat(List.of(record().stage(), record().isClosed())).containsExactly(RolloutStage.ROLLED_BACK, true);
        }
    }
}
