package org.lovagethread.gateway.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.engine.EngineModels;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.policy.SpeedRecorder;
import org.lovagethread.gateway.policy.ZoneTopology;
import org.lovagethread.gateway.upstream.SpeedSums;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamSpeed;

/**
 * Plays the same relative load against plain upstreams of equal and of mixed speeds. Fails if slow upstreams are
 * overloaded while fast ones have free slots.
 */
class PlainSpeedTest {
    private static final List<Double> EQUAL = List.of(1.0, 1.0, 1.0);
    private static final List<Double> MIXED = List.of(0.7, 0.7, 1.7);
    private static final ServiceSpec SERVICE = new ServiceSpec("plain", 100, Optional.empty(), Optional.empty());
    private static final int UPSTREAMS = 6;
    private static final int GATEWAYS = 4;
    private static final int SLOTS = 6;
    private static final double WORK_MILLIS = 20;
    private static final double TARGET_MILLIS = 100;
    private static final double REPORT_INTERVAL_MILLIS = 140;
    private static final double LEARNING_MILLIS = 5_000;
    private static final double DURATION_MILLIS = 25_000;
    private static final double MAX_DIFFERENCE = 0.03;
    private static final List<Long> SEEDS = List.of(5L, 6L, 7L, 8L);

    /** Emulated upstream with a queue before its slots. */
    private static final class Server {
        private final double speed;
        private final Deque<Runnable> queue = new ArrayDeque<>();
        private int running;

        private Server(double speed) {
            this.speed = speed;
        }
    }

    private record GatewayState(EngineModels models, Placement placement, List<Upstream> upstreams) {}

    private static final class Play {
        private final VirtualClock clock = new VirtualClock();
        private final Random random;
        private final List<Server> servers = new ArrayList<>();
        private final List<GatewayState> gateways = new ArrayList<>();
        private final double arrivalsPerMilli;
        private int requests;
        private int inTime;

        private Play(List<Double> speeds, double load, long seed) {
            random = new Random(seed);
            double capacity = 0;
            for (int i = 0; i < UPSTREAMS; i++) {
                servers.add(new Server(speeds.get(i % speeds.size())));
                capacity += servers.get(i).speed * SLOTS / WORK_MILLIS;
            }
            arrivalsPerMilli = load * capacity;
            for (int i = 0; i < GATEWAYS; i++) {
                EngineModels models = new EngineModels();
                Placement placement = new Placement(new ZoneTopology("a", Map.of("a", "one")), models);
                List<Upstream> upstreams = new ArrayList<>();
                for (int server = 0; server < UPSTREAMS; server++) {
                    upstreams.add(new Upstream(
                            new UpstreamEntry("p-" + server, "plain", "10.0.0.1", 80, "a", SLOTS, false, false, 1)));
                }
                gateways.add(new GatewayState(models, placement, upstreams));
            }
        }

        private double inTimeShare() {
            clock.schedule(0, this::submit);
            clock.schedule(REPORT_INTERVAL_MILLIS, this::exchange);
            clock.runUntil(DURATION_MILLIS);
            return (double) inTime / requests;
        }

        private void submit() {
            clock.schedule(-Math.log(1 - random.nextDouble()) / arrivalsPerMilli, this::submit);
            GatewayState gateway = gateways.get(random.nextInt(GATEWAYS));
            Placement.Choice choice = gateway.placement()
                    .choose(SERVICE, gateway.upstreams(), Set.of(), Placement.Demand.PLAIN, false, (long)
                            clock.nowMillis())
                    .orElseThrow();
            Upstream upstream = choice.upstream();
            Server server = servers.get(gateway.upstreams().indexOf(upstream));
            double workMillis = WORK_MILLIS * (0.5 + random.nextDouble()) / server.speed;
            double startedMillis = clock.nowMillis();
            boolean counts = startedMillis > LEARNING_MILLIS;
            requests += counts ? 1 : 0;
            upstream.load().recordStart(0, 0);
            Runnable run = () -> clock.schedule(workMillis, () -> {
                double millis = clock.nowMillis() - startedMillis;
                inTime += counts && millis <= TARGET_MILLIS ? 1 : 0;
                upstream.load().recordEnd(false, 0, 0);
                SpeedRecorder.recordResponse(
                        gateway.models().of("plain"), choice, Math.round(millis), (long) clock.nowMillis());
                release(server);
            });
            if (server.running < SLOTS) {
                server.running++;
                run.run();
            } else {
                server.queue.add(run);
            }
        }

        private static void release(Server server) {
            Runnable next = server.queue.poll();
            if (next == null) {
                server.running--;
            } else {
                next.run();
            }
        }

        private void exchange() {
            clock.schedule(REPORT_INTERVAL_MILLIS, this::exchange);
            for (GatewayState sender : gateways) {
                for (GatewayState receiver : gateways) {
                    for (int i = 0; !sender.equals(receiver) && i < UPSTREAMS; i++) {
                        Upstream reported = sender.upstreams().get(i);
                        receiver.upstreams()
                                .get(i)
                                .load()
                                .updatePeer(
                                        "g" + gateways.indexOf(sender),
                                        reported.load().local(),
                                        (long) clock.nowMillis());
                        SpeedSums sums = reported.speed().local();
                        UpstreamSpeed receiving = receiver.upstreams().get(i).speed();
                        SpeedSums.of(sums.samples(), sums.logSum(), sums.deviationSum())
                                .ifPresent(copy -> receiving.updatePeer(
                                        "g" + gateways.indexOf(sender), copy, (long) clock.nowMillis()));
                    }
                }
            }
        }
    }

    private static double inTimeShare(List<Double> speeds, double load) {
        return SEEDS.stream()
                .mapToDouble(seed -> new Play(speeds, load, seed).inTimeShare())
                .average()
                .orElseThrow();
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.5, 0.8, 0.95})
    void sharesInTimeAreEqual(double load) {
        double equal = inTimeShare(EQUAL, load);
        double mixed = inTimeShare(MIXED, load);
        assertThat(mixed).as("share in time at load %s", load).isGreaterThanOrEqualTo(equal - MAX_DIFFERENCE);
    }
}
