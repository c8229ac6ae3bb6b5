package org.lovagethread.gateway.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagethread.gateway.upstream.BrittleNotice;

/** Checks that gateways together keep within the room of brittle servers, and use it. */
class BrittleServersTest {
    private static final double BRITTLE_FROM_MILLIS = 3_000;
    private static final double CONTACT_MILLIS = 1_500;
    private static final double BRITTLE_TO_MILLIS = 33_000;
    private static final BrittleServer.Load LARGE = new BrittleServer.Load(24, 12, 100);
    private static final BrittleServer.Load SMALL = new BrittleServer.Load(6, 6, 100);

    private static BrittleEmulation emulate(
            long seed, boolean limited, int servers, BrittleServer.Load load, int maxRejections) {
        BrittleEmulation emulation = new BrittleEmulation(seed, limited);
        for (int i = 0; i < servers; i++) {
            addBrittle(emulation, "desk", load, maxRejections);
        }
        emulation.start();
        return emulation;
    }

    private static void addBrittle(
            BrittleEmulation emulation, String service, BrittleServer.Load load, int maxRejections) {
        BrittleServer server = emulation.addServer(service, load);
        emulation.clock.schedule(
                BRITTLE_FROM_MILLIS,
                () -> server.become(BrittleNotice.stated(maxRejections), CONTACT_MILLIS, load.usualWaitingRoom() / 4));
        emulation.clock.schedule(BRITTLE_TO_MILLIS, server::recover);
    }

    private static double capacityPerSecond(int servers, BrittleServer.Load load) {
        return servers * load.slots() * 1_000 / load.meanMillis();
    }

    /** Adds a steady load before and between, and three times the capacity for two thirds of the brittle time. */
    private static void press(BrittleEmulation emulation, String service, double capacityPerSecond) {
        emulation.load(service, capacityPerSecond / 2, 0, 10_000);
        emulation.load(service, 3 * capacityPerSecond, 10_000, 30_000);
    }

    private static double allowedFalls(int servers) {
        return 2 + 0.1 * servers;
    }

    /** Shows that the emulated load is dangerous. */
    @Test
    void fallAgainAndAgainWithoutALimit() {
        BrittleEmulation emulation = emulate(1, false, 1, LARGE, 10);
        press(emulation, "desk", capacityPerSecond(1, LARGE));
        emulation.clock.runUntil(35_000);
        assertThat(emulation.falls()).isGreaterThan(4);
    }

    @Nested
    class Bursts {
        @ParameterizedTest
        @CsvSource({
            "1, 24, 10, 0.95",
            "2, 24, 1, 0.95",
            "3, 24, 0, 0.95",
            "4, 6, 10, 0.9",
            "5, 6, 1, 0.9",
            "6, 6, 0, 0.9",
            "7, 1, 0, 0.5",
            "8, 200, 3, 0.95"
        })
        void doNotMakeAServerFallAndUseItsRoom(long seed, int slots, int maxRejections, double minUsedShare) {
            BrittleServer.Load load = new BrittleServer.Load(slots, slots, 100);
            BrittleEmulation emulation = emulate(seed, true, 1, load, maxRejections);
            double capacity = capacityPerSecond(1, load);
            press(emulation, "desk", capacity);
            emulation.clock.runUntil(12_000);
            int before = emulation.completed();
            emulation.clock.runUntil(30_000);
            int completed = emulation.completed() - before;
            System.out.printf(
                    "FIGURES brittle, %d slots, N = %d | falls %d, rejected %d, used %.2f%n",
                    slots, maxRejections, emulation.falls(), emulation.rejected(), completed / (18 * capacity));
            assertThat(emulation.falls()).isLessThanOrEqualTo(2);
            assertThat(completed).isGreaterThan((int) (minUsedShare * 18 * capacity));
        }

        @ParameterizedTest
        @ValueSource(longs = {11, 12, 13})
        void thatReachAllGatewaysAtOnceAreAbsorbed(long seed) {
            BrittleEmulation emulation = emulate(seed, true, 1, LARGE, 3);
            emulation.load("desk", 40, 0, 30_000);
            for (int second = 6; second < 30; second += 2) {
                emulation.burst("desk", 20, second * 1_000);
            }
            emulation.clock.runUntil(34_000);
            assertThat(emulation.falls()).isLessThanOrEqualTo(2);
            assertThat(emulation.served).isGreaterThan((int) (0.95 * emulation.requests));
        }
    }

    @Nested
    class Disturbances {
        @ParameterizedTest
        @CsvSource({"21, 0.2, 24", "22, 0.5, 24", "23, 1, 24", "24, 0.2, 6", "25, 0.5, 6", "26, 1, 6"})
        void lostReportsDoNotMakeAServerFall(long seed, double loss, int slots) {
            BrittleServer.Load load = new BrittleServer.Load(slots, slots / 2, 100);
            BrittleEmulation emulation = emulate(seed, true, 1, load, 3);
            press(emulation, "desk", capacityPerSecond(1, load));
            emulation.clock.schedule(7_000, () -> emulation.messageLoss = loss);
            emulation.clock.runUntil(33_000);
            System.out.printf(
                    "FIGURES brittle, %d slots, N = 3, loss %.1f | falls %d, rejected %d, completed %d of %.0f%n",
                    slots,
                    loss,
                    emulation.falls(),
                    emulation.rejected(),
                    emulation.completed(),
                    25 * capacityPerSecond(1, load));
            assertThat(emulation.falls()).isLessThanOrEqualTo(2);
        }

        @Test
        void gatewaysThatReturnAddNoBurst() {
            BrittleEmulation emulation = emulate(31, true, 1, LARGE, 3);
            double capacity = capacityPerSecond(1, LARGE);
            press(emulation, "desk", capacity);
            for (int i = 0; i < 6; i++) {
                BrittleEmulation.EmulatedGateway gateway = emulation.gateways.get(i);
                emulation.clock.schedule(12_000 + 2_000 * i, () -> gateway.restart(700));
            }
            emulation.clock.runUntil(33_000);
            assertThat(emulation.falls()).isLessThanOrEqualTo(2);
        }

        @Test
        void aServerThatFellReturnsToFewRequests() {
            BrittleEmulation emulation = emulate(41, true, 3, SMALL, 2);
            double capacity = capacityPerSecond(3, SMALL);
            press(emulation, "desk", capacity);
            emulation.clock.schedule(14_000, () -> emulation.servers.get(0).fall());
            emulation.clock.runUntil(33_000);
            assertThat(emulation.falls()).isLessThanOrEqualTo(3);
            assertThat(emulation.servers.get(0).completed).isGreaterThan(emulation.servers.get(1).completed / 2);
        }
    }

    @Test
    void keepTwoBrittleServicesApart() {
        BrittleEmulation emulation = emulate(51, true, 2, LARGE, 2);
        addBrittle(emulation, "shop", SMALL, 0);
        press(emulation, "desk", capacityPerSecond(2, LARGE));
        press(emulation, "shop", capacityPerSecond(1, SMALL));
        emulation.clock.runUntil(33_000);
        assertThat(emulation.falls()).isLessThanOrEqualTo((int) allowedFalls(2));
    }

    @Test
    void areForgottenWhenTheyNoLongerSaySo() {
        BrittleEmulation emulation = emulate(61, true, 1, LARGE, 2);
        emulation.load("desk", 100, 0, 45_000);
        emulation.clock.runUntil(20_000);
        assertThat(emulation.gateways).allMatch(gateway -> !gateway.brittle().isEmpty());
        emulation.clock.runUntil(45_000);
        assertThat(emulation.gateways).allMatch(gateway -> gateway.brittle().isEmpty());
        assertThat(emulation.served).isGreaterThan((int) (0.99 * emulation.requests));
    }
}
