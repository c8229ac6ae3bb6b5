package org.lovagethread.gateway.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.config.ClientLimits;
import org.lovagethread.gateway.config.GatewayConfiguration;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.RouteKind;
import org.lovagethread.gateway.config.RouteTable;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.config.ServiceSpec.EngineSpec;
import org.lovagethread.gateway.config.ServiceSpec.FleetSpec;
import org.lovagethread.gateway.engine.EngineModels;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.upstream.PauseRequest;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamTable;

class FleetManagerTest {
    private static final String SERVICE = "pool";
    private static final List<String> ZONES = List.of("a", "b", "c");
    private static final long BOOT_MILLIS = 4_000;
    private static final long TICK_MILLIS = 100;
    private static final int PROBE_MILLIS = 3_000;
    private static final double LOW_TOKENS_PER_SECOND = 50_000;
    private static final double HIGH_TOKENS_PER_SECOND = 1_000_000;

    private final Market market = new Market();
    private final UpstreamTable upstreams = new UpstreamTable();
    private FleetManager manager = createManager(1);

    /** Replies in the next tick, starts ordered instances after the boot time, and stops those beyond the ordered number immediately. */
    private final class Market implements DutyApi {
        private final List<FleetOrder> orders = new ArrayList<>();
        private final List<Instance> instances = new ArrayList<>();
        private final List<Runnable> replies = new ArrayList<>();
        private boolean reclaimableAvailable = true;
        private int refusedOrders;
        private int startedInstances;
        private long nowMillis;

        private record Instance(String id, String zone, boolean reclaimable, long startMillis) {}

        @Override
        public void reportUsage(long fencingToken, long window, Map<String, Long> requests, Consumer<Outcome> outcome) {
            outcome.accept(Outcome.ACCEPTED);
        }

        @Override
        public void order(long fencingToken, FleetOrder order, Consumer<Outcome> outcome) {
            List<Instance> present = instances(order.zone(), order.reclaimable());
            if (!reclaimableAvailable && order.reclaimable() && order.count() > present.size()) {
                refusedOrders++;
                replies.add(() -> outcome.accept(Outcome.REFUSED));
                return;
            }
            orders.add(order);
            for (int i = present.size(); i < order.count(); i++) {
                start(order.zone(), order.reclaimable(), nowMillis + BOOT_MILLIS);
            }
            for (int i = order.count(); i < present.size(); i++) {
                instances.remove(present.get(i));
                upstreams.remove(present.get(i).id(), 1, 0, nowMillis);
            }
            replies.add(() -> outcome.accept(Outcome.ACCEPTED));
        }

        private List<Instance> instances(String zone, boolean reclaimable) {
            return instances.stream()
                    .filter(instance -> instance.zone().equals(zone) && instance.reclaimable() == reclaimable)
                    .toList();
        }

        private void start(String zone, boolean reclaimable, long startMillis) {
            startedInstances++;
            instances.add(new Instance("i-" + startedInstances, zone, reclaimable, startMillis));
        }

        private void tick() {
            nowMillis += TICK_MILLIS;
            List<Runnable> delivered = List.copyOf(replies);
            replies.clear();
            delivered.forEach(Runnable::run);
            instances.stream()
                    .filter(instance -> instance.startMillis() <= nowMillis)
                    .forEach(instance -> upstreams.put(entry(instance, false), 1, nowMillis));
        }

        /** Removes the instances that were reclaimed. */
        private void removeReclaimed() {
            List<String> leaving = upstreams.all().stream()
                    .map(Upstream::entry)
                    .filter(UpstreamEntry::leaving)
                    .map(UpstreamEntry::id)
                    .toList();
            leaving.forEach(id -> upstreams.remove(id, 1, 0, nowMillis));
        }

        private void reclaim(String zone) {
            reclaimableAvailable = false;
            for (Instance instance : instances(zone, true)) {
                instances.remove(instance);
                upstreams.put(entry(instance, true), 1, nowMillis);
            }
        }

        private static UpstreamEntry entry(Instance instance, boolean leaving) {
            return new UpstreamEntry(
                    instance.id(), SERVICE, "10.0.0.1", 80, instance.zone(), 48, leaving, instance.reclaimable(), 1);
        }

        private long countOnDemandOrders() {
            return orders.stream()
                    .filter(order -> !order.reclaimable() && order.count() > 0)
                    .count();
        }
    }

    private static GatewayConfiguration configuration() {
        Route route = Route.builder("r")
                .match("h", "/")
                .kind(RouteKind.EVENT_STREAM, true, 2)
                .times(15_000, 600, 250)
                .services(List.of(new Route.WeightedService(SERVICE, 1)))
                .build();
        FleetSpec fleet = new FleetSpec(1, 8, BOOT_MILLIS, 0.15, Map.of("a", 1.0, "b", 0.8, "c", 1.25));
        ServiceSpec service =
                new ServiceSpec(SERVICE, 290, Optional.of(new EngineSpec(48, 900_000)), Optional.of(fleet));
        return new GatewayConfiguration(
                1, new RouteTable(List.of(route)), Map.of(SERVICE, service), Map.of(), List.of(), ClientLimits.DEFAULT);
    }

    private FleetManager createManager(long term) {
        return new FleetManager(
                market,
                upstreams,
                new EngineModels(),
                () -> market.nowMillis,
                () -> OptionalLong.of(term),
                new EventLog("node", new ByteArrayOutputStream()));
    }

    private void startInstances(int countPerZone) {
        for (String zone : ZONES) {
            for (int i = 0; i < countPerZone; i++) {
                market.start(zone, true, 0);
            }
        }
    }

    private void play(double tokensPerSecond, long durationMillis) {
        long endMillis = market.nowMillis + durationMillis;
        while (market.nowMillis < endMillis) {
            market.tick();
            manager.tick(configuration(), tokensPerSecond);
        }
    }

    @Nested
    class RisingLoad {
        @Test
        void startsOnlyReclaimableInstancesIfTheyAreAvailable() {
            startInstances(2);
            play(LOW_TOKENS_PER_SECOND, 10_000);
            play(HIGH_TOKENS_PER_SECOND, 20_000);
            assertThat(upstreams.available(SERVICE)).hasSizeGreaterThan(2 * ZONES.size());
            assertThat(market.countOnDemandOrders()).isZero();
        }

        @Test
        void startsOnDemandInstancesIfReclaimableOnesAreRefused() {
            startInstances(1);
            play(LOW_TOKENS_PER_SECOND, 10_000);
            market.reclaimableAvailable = false;
            play(HIGH_TOKENS_PER_SECOND, BOOT_MILLIS / 2);
            assertThat(market.countOnDemandOrders()).isPositive();
        }
    }

    @Nested
    class PausedInstances {
        private int countAfterPause(double seconds) {
            startInstances(3);
            play(LOW_TOKENS_PER_SECOND, 30_000);
            List<Upstream> running = upstreams.available(SERVICE);
            for (Upstream upstream : running) {
                upstreams
                        .pauses()
                        .record(upstream.entry(), PauseRequest.ofSeconds(seconds), market.nowMillis, market.nowMillis);
            }
            play(LOW_TOKENS_PER_SECOND, 6_000);
            return upstreams.available(SERVICE).size() - running.size();
        }

        /** Guards against paused instances that count as capacity. */
        @Test
        void areReplacedIfTheyPauseForLongerThanAnInstanceStarts() {
            assertThat(countAfterPause(25)).isPositive();
        }

        /** Guards against orders of instances that start after the end of the pause. */
        @Test
        void areNotReplacedDuringAShortPause() {
            assertThat(countAfterPause(1)).isLessThanOrEqualTo(0);
        }
    }

    @Nested
    class NewLeaseHolder {
        @Test
        void keepsOnDemandInstancesWhileReclaimableOnesAreRefused() {
            play(HIGH_TOKENS_PER_SECOND, 20_000);
            ZONES.forEach(market::reclaim);
            play(HIGH_TOKENS_PER_SECOND, 12_000);
            market.removeReclaimed();
            int before = upstreams.available(SERVICE).size();
            manager = createManager(2);
            play(HIGH_TOKENS_PER_SECOND, TICK_MILLIS);
            assertThat(upstreams.available(SERVICE)).hasSizeGreaterThanOrEqualTo(before);
        }
    }

    @Nested
    class ReclaimedZones {
        @Test
        void keepOnDemandInstancesUntilReclaimableOnesHaveStarted() {
            play(HIGH_TOKENS_PER_SECOND, 20_000);
            ZONES.forEach(market::reclaim);
            play(HIGH_TOKENS_PER_SECOND, 12_000);
            int before = upstreams.available(SERVICE).size();
            market.reclaimableAvailable = true;
            play(HIGH_TOKENS_PER_SECOND, PROBE_MILLIS + BOOT_MILLIS / 2);
            assertThat(upstreams.available(SERVICE)).hasSizeGreaterThanOrEqualTo(before);
            play(HIGH_TOKENS_PER_SECOND, 3 * BOOT_MILLIS);
            assertThat(upstreams.available(SERVICE))
                    .allMatch(upstream -> upstream.entry().reclaimable());
        }

        @Test
        void neitherCauseOrdersAgainAndAgainNorFewerOnDemandInstances() {
            play(HIGH_TOKENS_PER_SECOND, 20_000);
            ZONES.forEach(market::reclaim);
            play(HIGH_TOKENS_PER_SECOND, 12_000);
            assertThat(market.refusedOrders).isLessThanOrEqualTo(ZONES.size() + 12_000 / PROBE_MILLIS);
            for (String zone : ZONES) {
                assertThat(market.orders.stream()
                                .filter(order ->
                                        !order.reclaimable() && order.zone().equals(zone))
                                .map(DutyApi.FleetOrder::count))
                        .isSorted();
            }
        }

        @Test
        void areReplacedByOnDemandInstances() {
            play(HIGH_TOKENS_PER_SECOND, 20_000);
            int before = upstreams.available(SERVICE).size();
            market.reclaim("a");
            market.reclaim("b");
            play(HIGH_TOKENS_PER_SECOND, BOOT_MILLIS + 1_000);
            assertThat(market.countOnDemandOrders()).isPositive();
            assertThat(upstreams.available(SERVICE)).hasSizeGreaterThan(before / ZONES.size());
        }
    }
}
