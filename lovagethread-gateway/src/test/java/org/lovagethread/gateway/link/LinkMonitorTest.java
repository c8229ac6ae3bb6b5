package org.lovagethread.gateway.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagethread.gateway.link.LinkSimulation.Links;
import org.lovagethread.gateway.link.LinkSimulation.SimulatedGateway;
import org.lovagethread.gateway.upstream.UpstreamEntry;

class LinkMonitorTest {
    private static final int GATEWAYS = 6;
    private static final int UPSTREAMS = 15;
    private static final long WARM_UP_MILLIS = 5_000;
    private static final long BUSY_INTERVAL_MILLIS = 60;

    /** Time within which a gateway with requests must know that it is cut off, in milliseconds. */
    private static final long PROMPTLY_MILLIS = 1_500;

    /** Time within which any gateway must know that it is cut off, in milliseconds. */
    private static final long IN_TIME_MILLIS = 3_400;

    private static LinkSimulation busySystem(int gateways, int upstreams, long seed) {
        LinkSimulation system = new LinkSimulation(gateways, upstreams, seed).traffic(BUSY_INTERVAL_MILLIS, 0.3);
        system.runFor(WARM_UP_MILLIS);
        return system;
    }

    private static LinkSimulation busySystem() {
        return busySystem(GATEWAYS, UPSTREAMS, 1);
    }

    private static void assertLostWithin(long millis, SimulatedGateway gateway, long cutMillis) {
        assertThat(gateway.monitor.isIsolated()).as(gateway.name).isTrue();
        assertThat(gateway.lostMillis.get(gateway.lostMillis.size() - 1) - cutMillis)
                .as(gateway.name)
                .isPositive()
                .isLessThanOrEqualTo(millis);
    }

    private static void assertNeverLost(LinkSimulation system) {
        assertThat(system.gateways)
                .allSatisfy(gateway -> assertThat(gateway.lostMillis).isEmpty());
    }

    /** Cuts some gateways off and checks that these and no others are isolated in time. */
    private static void assertKnownWithin(long millis, LinkSimulation system, int cutGateways, Links links) {
        long cutMillis = system.nowMillis();
        system.gateways.subList(0, cutGateways).forEach(gateway -> gateway.cut(links));
        system.runFor(millis + 200);
        for (int i = 0; i < system.gateways.size(); i++) {
            SimulatedGateway gateway = system.gateway(i);
            if (i < cutGateways) {
                assertLostWithin(millis, gateway, cutMillis);
            } else {
                assertThat(gateway.lostMillis).as(gateway.name).isEmpty();
            }
        }
    }

    @Nested
    class Cuts {
        @ParameterizedTest
        @EnumSource(value = Links.class, mode = EnumSource.Mode.EXCLUDE, names = "SOUND")
        void ofOneGatewayAreKnownPromptly(Links links) {
            assertKnownWithin(PROMPTLY_MILLIS, busySystem(), 1, links);
        }

        @ParameterizedTest
        @EnumSource(value = Links.class, mode = EnumSource.Mode.EXCLUDE, names = "SOUND")
        void ofMostGatewaysAreKnownPromptly(Links links) {
            assertKnownWithin(PROMPTLY_MILLIS, busySystem(), 4, links);
        }

        @ParameterizedTest
        @EnumSource(value = Links.class, mode = EnumSource.Mode.EXCLUDE, names = "SOUND")
        void ofAllButOneGatewayAreKnownPromptly(Links links) {
            assertKnownWithin(PROMPTLY_MILLIS, busySystem(), GATEWAYS - 1, links);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
        void areKnownPromptlyForAnySeed(long seed) {
            assertKnownWithin(PROMPTLY_MILLIS, busySystem(GATEWAYS, UPSTREAMS, seed), 3, Links.HANGING);
        }

        @Test
        void areKnownWhereUpstreamsAreFew() {
            assertKnownWithin(PROMPTLY_MILLIS, busySystem(GATEWAYS, 3, 1), 3, Links.REFUSED);
        }

        @Test
        void areKnownWhereOneUpstreamServesAlone() {
            assertKnownWithin(IN_TIME_MILLIS, busySystem(GATEWAYS, 1, 1), 2, Links.HANGING);
        }
    }

    @Nested
    class LittleTraffic {
        @ParameterizedTest
        @EnumSource(
                value = Links.class,
                mode = EnumSource.Mode.EXCLUDE,
                names = {"SOUND", "NEW_REFUSED"})
        void isNoHindranceToKnowingInTime(Links links) {
            LinkSimulation system = new LinkSimulation(GATEWAYS, UPSTREAMS, 1).traffic(3_000, 0.5);
            system.runFor(WARM_UP_MILLIS);
            assertKnownWithin(IN_TIME_MILLIS, system, 2, links);
        }

        @Test
        void isNoHindranceToGatewaysWithoutAnyRequests() {
            LinkSimulation system = busySystem();
            SimulatedGateway idle = system.gateway(0);
            idle.requestIntervalMillis = Long.MAX_VALUE;
            system.runFor(WARM_UP_MILLIS);
            assertKnownWithin(IN_TIME_MILLIS, system, 1, Links.HANGING);
        }

        @Test
        void costsFewProbes() {
            LinkSimulation system = busySystem();
            SimulatedGateway idle = system.gateway(0);
            idle.requestIntervalMillis = Long.MAX_VALUE;
            int before = idle.probes;
            system.runFor(10_000);
            assertThat(idle.probes - before).isBetween(4, 7);
            assertThat(idle.maxProbesInStep).isEqualTo(1);
        }

        @Test
        void costsNothingWhereNoGatewayReachesAnUpstream() {
            LinkSimulation system = new LinkSimulation(GATEWAYS, UPSTREAMS, 1);
            system.runFor(10_000);
            assertThat(system.gateways)
                    .allSatisfy(gateway -> assertThat(gateway.probes).isZero());
        }
    }

    @Nested
    class SoundSystems {
        @Test
        void areNotProbed() {
            LinkSimulation system = busySystem();
            int before =
                    system.gateways.stream().mapToInt(gateway -> gateway.probes).sum();
            system.runFor(10_000);
            assertThat(system.gateways.stream()
                            .mapToInt(gateway -> gateway.probes)
                            .sum())
                    .isEqualTo(before);
        }

        @ParameterizedTest
        @ValueSource(ints = {1, 2, UPSTREAMS})
        void areNotDoubtedWhileUpstreamsAreSilentForASecond(int upstreams) {
            LinkSimulation system = busySystem(GATEWAYS, upstreams, 1);
            for (int i = 0; i < 20; i++) {
                var silent = system.upstreams.get("i-" + i % upstreams);
                silent.silentUntilMillis = system.nowMillis() + 1_000;
                system.runFor(1_700);
            }
            assertNeverLost(system);
        }

        @Test
        void areNotDoubtedBecauseOfOneService() {
            LinkSimulation system = busySystem();
            system.upstreams.values().stream()
                    .filter(upstream -> upstream.entry.service().equals("desk-0"))
                    .forEach(upstream -> upstream.stopped = true);
            system.runFor(10_000);
            assertNeverLost(system);
        }

        @Test
        void areNotDoubtedBecauseOfOneZone() {
            LinkSimulation system = busySystem();
            system.upstreams.values().stream()
                    .filter(upstream -> upstream.entry.zone().equals("zone-0"))
                    .forEach(upstream -> upstream.stopped = true);
            system.runFor(10_000);
            assertNeverLost(system);
        }

        @Test
        void areNotDoubtedBecauseOfResets() {
            LinkSimulation system = busySystem();
            for (int i = 0; i < 50; i++) {
                system.gateway(0).monitor.recordReset(system.nowMillis());
                system.runFor(100);
            }
            assertNeverLost(system);
        }
    }

    @Nested
    class FaultsOfUpstreams {
        @Test
        void isolateNoGatewayWhenAllRefuse() {
            LinkSimulation system = busySystem();
            system.upstreams.values().forEach(upstream -> upstream.stopped = true);
            system.runFor(10_000);
            assertNeverLost(system);
        }

        @Test
        void isolateNoGatewayWhenAllAreSilent() {
            LinkSimulation system = busySystem();
            system.upstreams.values().forEach(upstream -> upstream.silentUntilMillis = system.nowMillis() + 10_000);
            system.runFor(15_000);
            assertNeverLost(system);
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void isolateNoGatewayWhenHalfStopOneAfterAnotherAndThenAll(long seed) {
            LinkSimulation system = busySystem(GATEWAYS, UPSTREAMS, seed);
            system.upstreams.values().stream().limit(UPSTREAMS / 2).forEach(upstream -> {
                upstream.stopped = true;
                system.runFor(300);
            });
            system.upstreams.values().forEach(upstream -> upstream.stopped = true);
            system.runFor(5_000);
            assertNeverLost(system);
        }

        @Test
        void causeNoStormOfProbes() {
            LinkSimulation system = busySystem();
            system.upstreams.values().forEach(upstream -> upstream.stopped = true);
            int before = system.gateway(0).probes;
            system.runFor(10_000);
            assertThat(system.gateway(0).probes - before).isLessThan(80);
        }
    }

    @Nested
    class Standstill {
        // Guards against a gateway that returns, or misleads its peers, by connections from before it stood still.
        @Test
        void leavesNoProofInConnectionsThatWereBegunBefore() {
            LinkMonitor monitor = new LinkMonitor(() -> 0.5);
            UpstreamEntry upstream = new UpstreamEntry("i-1", "pool", "10.0.0.1", 80, "a", 6, false, false, 1);
            monitor.tick(List.of(upstream), false, 0);
            monitor.tick(List.of(upstream), false, 5_000);
            monitor.recordConnected(upstream, 0, 5_001);
            assertThat(monitor.statement(5_001).reachedAgeMillis()).isEmpty();
            monitor.tick(List.of(upstream), false, 5_200);
            monitor.tick(List.of(upstream), false, 5_400);
            monitor.recordConnected(upstream, 5_300, 5_400);
            assertThat(monitor.statement(5_400).reachedAgeMillis()).hasValue(0);
        }

        @ParameterizedTest
        @ValueSource(longs = {300, 1_000, 5_000})
        void ofAGatewayIsolatesIt(long millis) {
            LinkSimulation system = busySystem();
            system.gateway(0).freezeFor(millis);
            system.runFor(millis + 3_000);
            assertNeverLost(system);
        }

        @Test
        void leavesNoProofInHeldDatagrams() {
            LinkSimulation system = busySystem();
            system.gateway(0).freezeFor(3_000);
            system.runFor(2_500);
            system.upstreams.values().forEach(upstream -> upstream.stopped = true);
            system.runFor(5_000);
            assertNeverLost(system);
        }

        @Test
        void delaysTheKnowledgeOfACutByAnAmountThatIsBounded() {
            LinkSimulation system = busySystem();
            system.gateway(0).cut(Links.HANGING);
            system.gateway(0).freezeFor(1_000);
            system.runFor(1_000);
            long thawMillis = system.nowMillis();
            system.runFor(2_500);
            assertLostWithin(2_000, system.gateway(0), thawMillis);
        }

        @Test
        void doesNotEndIsolation() {
            LinkSimulation system = busySystem();
            system.gateway(0).cut(Links.REFUSED);
            system.runFor(2_000);
            system.gateway(0).freezeFor(2_000);
            system.runFor(4_000);
            assertThat(system.gateway(0).monitor.isIsolated()).isTrue();
            assertThat(system.gateway(0).restoredMillis).isEmpty();
        }
    }

    @Nested
    class Restart {
        @ParameterizedTest
        @EnumSource(
                value = Links.class,
                mode = EnumSource.Mode.EXCLUDE,
                names = {"SOUND", "NEW_REFUSED"})
        void behindACutIsKnownInTime(Links links) {
            LinkSimulation system = busySystem();
            system.gateway(0).cut(links);
            system.runFor(3_000);
            system.gateway(0).restart();
            long restartMillis = system.nowMillis();
            assertThat(system.gateway(0).monitor.statement(restartMillis).reachedAgeMillis())
                    .isEmpty();
            system.runFor(IN_TIME_MILLIS);
            assertLostWithin(PROMPTLY_MILLIS, system.gateway(0), restartMillis);
        }

        @Test
        void withoutRequestsIsKnownInTime() {
            LinkSimulation system = busySystem();
            system.gateway(0).cut(Links.HANGING);
            system.gateway(0).requestIntervalMillis = Long.MAX_VALUE;
            system.gateway(0).restart();
            long restartMillis = system.nowMillis();
            system.runFor(IN_TIME_MILLIS + 200);
            assertLostWithin(IN_TIME_MILLIS, system.gateway(0), restartMillis);
        }
    }

    @Nested
    class Return {
        private static final long SOON_MILLIS = 1_500;

        private LinkSimulation isolatedSystem(int gateways) {
            LinkSimulation system = busySystem(gateways, UPSTREAMS, 1);
            system.gateways.subList(0, gateways - 1).forEach(gateway -> gateway.cut(Links.HANGING));
            system.runFor(10_000);
            system.gateways.subList(0, gateways - 1).forEach(gateway -> {
                assertThat(gateway.monitor.isIsolated()).isTrue();
                gateway.requestIntervalMillis = Long.MAX_VALUE;
            });
            return system;
        }

        @Test
        void happensSoonAfterTheEndOfTheCut() {
            LinkSimulation system = isolatedSystem(GATEWAYS);
            system.gateways.forEach(gateway -> gateway.cut(Links.SOUND));
            system.runFor(SOON_MILLIS);
            assertThat(system.gateways).allSatisfy(gateway -> assertThat(gateway.monitor.isIsolated())
                    .isFalse());
        }

        @Test
        void needsMoreThanOneUpstream() {
            LinkSimulation system = isolatedSystem(GATEWAYS);
            system.upstreams.values().stream().skip(1).forEach(upstream -> upstream.stopped = true);
            system.gateway(0).cut(Links.SOUND);
            system.runFor(10_000);
            assertThat(system.gateway(0).monitor.isIsolated()).isTrue();
        }

        @Test
        void isNoHerdOnOneUpstream() {
            LinkSimulation system = isolatedSystem(60);
            system.gateway(59).requestIntervalMillis = Long.MAX_VALUE;
            system.upstreams.values().forEach(upstream -> upstream.connections = 0);
            system.gateways.forEach(gateway -> gateway.cut(Links.SOUND));
            system.runFor(100);
            assertThat(system.upstreams.values())
                    .allSatisfy(upstream -> assertThat(upstream.connections).isLessThanOrEqualTo(15));
            system.runFor(SOON_MILLIS);
            assertThat(system.upstreams.values().stream()
                            .mapToInt(upstream -> upstream.connections)
                            .sum())
                    .isLessThanOrEqualTo(60 * 6);
        }

        @Test
        void isProbedForByFewConnections() {
            LinkSimulation system = isolatedSystem(GATEWAYS);
            int before = system.gateway(0).probes;
            system.runFor(10_000);
            assertThat(system.gateway(0).probes - before).isBetween(20, 60);
        }

        @Test
        void comesLaterEachTimeIfTheLinksComeAndGo() {
            LinkSimulation system = busySystem();
            for (int i = 0; i < 40; i++) {
                system.gateway(0).cut(i % 2 == 0 ? Links.REFUSED : Links.SOUND);
                system.runFor(1_500);
            }
            assertThat(system.gateway(0).lostMillis).hasSizeBetween(1, 12);
        }

        @Test
        void isNeverDelayedForLong() {
            LinkSimulation system = busySystem();
            for (int i = 0; i < 40; i++) {
                system.gateway(0).cut(i % 2 == 0 ? Links.REFUSED : Links.SOUND);
                system.runFor(1_500);
            }
            system.gateway(0).cut(Links.REFUSED);
            system.runFor(6_000);
            system.gateway(0).cut(Links.SOUND);
            system.runFor(SOON_MILLIS);
            assertThat(system.gateway(0).monitor.isIsolated()).isFalse();
        }
    }

    @Nested
    class Statements {
        @Test
        void areEmptyBeforeAnUpstreamWasReached() {
            LinkMonitor monitor = new LinkMonitor(() -> 0.5);
            assertThat(monitor.statement(1_000)).isEqualTo(new LinkStatement(false, OptionalLong.empty()));
        }

        @Test
        void nameTheTimeSinceTheLatestBytes() {
            LinkMonitor monitor = new LinkMonitor(() -> 0.5);
            monitor.recordReceived(1_000);
            assertThat(monitor.statement(1_200)).isEqualTo(new LinkStatement(false, OptionalLong.of(200)));
        }

        @Test
        void doNotCountBytesOfOldConnectionsWhileNewOnesFail() {
            LinkSimulation system = busySystem(1, UPSTREAMS, 1);
            system.gateway(0).cut(Links.NEW_REFUSED);
            system.runFor(2_000);
            assertThat(system.gateway(0)
                            .monitor
                            .statement(system.nowMillis())
                            .reachedAgeMillis()
                            .orElseThrow())
                    .isGreaterThan(1_500);
        }
    }
}
