package org.lovagethread.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.GatewaySettings;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.store.FakeStore;
import org.lovagethread.gateway.store.Scheduler;

class GatewayRegistryTest {
    private static final InetSocketAddress ANY = InetSocketAddress.createUnresolved("any", 1);

    private final FakeStore store = new FakeStore();

    /** A gateway with a manually advanced clock and manually run timers. */
    private final class Instance implements Scheduler {
        private final List<Runnable> later = new ArrayList<>();
        private final PeerTable peers;
        private final GatewayRegistry registry;
        private long now;

        private Instance(String node, String host) {
            GatewaySettings settings = new GatewaySettings(
                    node,
                    host,
                    "a",
                    Map.of("a", "r"),
                    ANY,
                    ANY,
                    ANY,
                    1,
                    ANY,
                    75,
                    List.of(),
                    new GatewaySettings.Bounds(0, 0, 0, 1, 0, 0, 0, 1, 0, 0));
            EventLog log = new EventLog(node, new ByteArrayOutputStream());
            peers = new PeerTable(host, "a", 75);
            registry = new GatewayRegistry(store, settings, peers, this, () -> false, log);
        }

        @Override
        public long nowMillis() {
            return now;
        }

        @Override
        public void schedule(long delayMillis, Runnable action) {
            later.add(action);
        }

        private void runLater() {
            List<Runnable> due = List.copyOf(later);
            later.clear();
            due.forEach(Runnable::run);
        }
    }

    @Nested
    class Starting {
        @Test
        void findsThoseThatRegisteredBefore() {
            Instance one = new Instance("one", "10.0.0.1");
            Instance two = new Instance("two", "10.0.0.2");
            one.registry.start(() -> {});
            two.registry.start(() -> {});
            assertThat(two.peers.targetHosts()).containsExactly("10.0.0.1");
        }

        @Test
        void isTriedAgainUntilTheStoreAnswers() {
            Instance one = new Instance("one", "10.0.0.1");
            store.unavailable(true);
            one.registry.start(() -> {});
            store.unavailable(false);
            one.runLater();
            Instance two = new Instance("two", "10.0.0.2");
            two.registry.start(() -> {});
            assertThat(two.peers.targetHosts()).containsExactly("10.0.0.1");
        }

        @Test
        void replacesTheAddressOfAnEarlierInstanceOfTheSameName() {
            new Instance("one", "10.0.0.1").registry.start(() -> {});
            new Instance("one", "10.0.0.9").registry.start(() -> {});
            Instance two = new Instance("two", "10.0.0.2");
            two.registry.start(() -> {});
            assertThat(two.peers.targetHosts()).containsExactly("10.0.0.9");
        }
    }

    @Nested
    class FirstOutcome {
        private int told;

        @Test
        void isToldOnceWhenTheOthersAreKnown() {
            Instance one = new Instance("one", "10.0.0.1");
            one.registry.start(() -> told++);
            assertThat(told).isEqualTo(1);
            one.registry.listIfDue(true, true, 60_000);
            assertThat(told).isEqualTo(1);
        }

        @Test
        void isToldWhenTheStoreIsAway() {
            store.unavailable(true);
            new Instance("one", "10.0.0.1").registry.start(() -> told++);
            assertThat(told).isEqualTo(1);
        }
    }

    @Nested
    class Keeping {
        @Test
        void listsOnlyForTheOneThatKeepsTheRegistry() {
            Instance one = new Instance("one", "10.0.0.1");
            one.registry.start(() -> {});
            one.now = 60_000;
            int before = store.listCalls();
            one.registry.listIfDue(false, false, one.now);
            assertThat(store.listCalls()).isEqualTo(before);
            one.registry.listIfDue(true, false, one.now);
            one.registry.listIfDue(true, false, one.now);
            assertThat(store.listCalls()).isEqualTo(before + 1);
        }

        @Test
        void listsSoonerWhileNoPeerIsHeard() {
            Instance one = new Instance("one", "10.0.0.1");
            one.registry.start(() -> {});
            one.now = 4_000;
            int before = store.listCalls();
            one.registry.listIfDue(true, false, one.now);
            assertThat(store.listCalls()).isEqualTo(before);
            one.registry.listIfDue(true, true, one.now);
            assertThat(store.listCalls()).isEqualTo(before + 1);
        }

        @Test
        void forgetsWhatIsRegisteredNoMore() {
            Instance one = new Instance("one", "10.0.0.1");
            Instance two = new Instance("two", "10.0.0.2");
            two.registry.start(() -> {});
            one.registry.start(() -> {});
            assertThat(one.peers.targetHosts()).containsExactly("10.0.0.2");
            one.registry.removeRegistrations(List.of("10.0.0.2"));
            two.now = 60_000;
            Instance three = new Instance("three", "10.0.0.3");
            three.registry.start(() -> {});
            assertThat(three.peers.targetHosts()).containsExactly("10.0.0.1");
        }

        @Test
        void pausesBeforeItRegistersAgainInAStoreThatDoesNotListIt() {
            Instance one = new Instance("one", "10.0.0.1");
            store.hidesObjects(true);
            one.registry.start(() -> {});
            assertThat(store.listCalls()).isEqualTo(1);
            one.runLater();
            assertThat(store.listCalls()).isEqualTo(2);
        }

        @Test
        void registersAgainWhenItsRegistrationWasRemoved() {
            Instance one = new Instance("one", "10.0.0.1");
            Instance two = new Instance("two", "10.0.0.2");
            one.registry.start(() -> {});
            two.registry.start(() -> {});
            two.registry.removeRegistrations(List.of("10.0.0.1"));
            one.now = 60_000;
            one.registry.listIfDue(true, false, one.now);
            one.runLater();
            Instance three = new Instance("three", "10.0.0.3");
            three.registry.start(() -> {});
            assertThat(three.peers.targetHosts()).containsExactlyInAnyOrder("10.0.0.1", "10.0.0.2");
        }
    }
}
