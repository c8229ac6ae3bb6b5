package org.lovagethread.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.GatewaySettings;
import org.lovagethread.gateway.SilenceTimeouts;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.store.FakeStore;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.Scheduler;

class GatewayRegistryTest {
    private static final InetSocketAddress UNUSED_ADDRESS = InetSocketAddress.createUnresolved("any", 1);

    private final FakeStore store = new FakeStore();

    /** A gateway with a manually advanced clock and manually run timers. */
    private final class TestGateway implements Scheduler {
        private final List<Runnable> delayedActions = new ArrayList<>();
        private final PeerTable peers;
        private final GatewayRegistry registry;
        private long now;

        private TestGateway(String node, String host) {
            GatewaySettings settings = new GatewaySettings(
                    node,
                    host,
                    "a",
                    Map.of("a", "r"),
                    UNUSED_ADDRESS,
                    UNUSED_ADDRESS,
                    UNUSED_ADDRESS,
                    1,
                    UNUSED_ADDRESS,
                    75,
                    List.of(),
                    new GatewaySettings.Bounds(0, 0, 0, 1, 0, 0, 0, 1, 0, 0, new SilenceTimeouts(4_000)));
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
            delayedActions.add(action);
        }

        private void runDelayedActions() {
            List<Runnable> due = List.copyOf(delayedActions);
            delayedActions.clear();
            due.forEach(Runnable::run);
        }
    }

    @Nested
    class Starting {
        @Test
        void findsGatewaysRegisteredEarlier() {
            TestGateway one = new TestGateway("one", "10.0.0.1");
            TestGateway two = new TestGateway("two", "10.0.0.2");
            one.registry.start(() -> {});
            two.registry.start(() -> {});
            assertThat(two.peers.targetHosts()).containsExactly("10.0.0.1");
        }

        @Test
        void ignoresRegistrationsWithoutAnIpAddress() {
            for (String host : List.of("", "gateway.example", "10.0.0", "10.0.0.2:80")) {
                store.create(
                        ObjectKind.GATEWAYS,
                        "odd-" + host,
                        JsonNodeFactory.instance.objectNode().put("host", host),
                        reply -> {});
            }
            new TestGateway("one", "10.0.0.1").registry.start(() -> {});
            TestGateway two = new TestGateway("two", "10.0.0.2");
            two.registry.start(() -> {});
            assertThat(two.peers.targetHosts()).containsExactly("10.0.0.1");
        }

        @Test
        void retriesUntilStoreIsAvailable() {
            TestGateway one = new TestGateway("one", "10.0.0.1");
            store.setUnavailable(true);
            one.registry.start(() -> {});
            store.setUnavailable(false);
            one.runDelayedActions();
            TestGateway two = new TestGateway("two", "10.0.0.2");
            two.registry.start(() -> {});
            assertThat(two.peers.targetHosts()).containsExactly("10.0.0.1");
        }

        @Test
        void replacesAddressOfEarlierInstanceWithSameName() {
            new TestGateway("one", "10.0.0.1").registry.start(() -> {});
            new TestGateway("one", "10.0.0.9").registry.start(() -> {});
            TestGateway two = new TestGateway("two", "10.0.0.2");
            two.registry.start(() -> {});
            assertThat(two.peers.targetHosts()).containsExactly("10.0.0.9");
        }
    }

    @Nested
    class FirstAttempt {
        private int notifications;

        @Test
        void notifiesOnceAfterListing() {
            TestGateway one = new TestGateway("one", "10.0.0.1");
            one.registry.start(() -> notifications++);
            assertThat(notifications).isEqualTo(1);
            one.registry.listIfDue(true, true, 60_000);
            assertThat(notifications).isEqualTo(1);
        }

        @Test
        void notifiesWhenStoreIsUnavailable() {
            store.setUnavailable(true);
            new TestGateway("one", "10.0.0.1").registry.start(() -> notifications++);
            assertThat(notifications).isEqualTo(1);
        }
    }

    @Nested
    class Maintenance {
        @Test
        void listsPeriodicallyOnlyIfItMaintainsRegistry() {
            TestGateway one = new TestGateway("one", "10.0.0.1");
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
        void listsMoreOftenWhileIsolated() {
            TestGateway one = new TestGateway("one", "10.0.0.1");
            one.registry.start(() -> {});
            one.now = 4_000;
            int before = store.listCalls();
            one.registry.listIfDue(true, false, one.now);
            assertThat(store.listCalls()).isEqualTo(before);
            one.registry.listIfDue(true, true, one.now);
            assertThat(store.listCalls()).isEqualTo(before + 1);
        }

        @Test
        void removesRegistrationsOfLostGateways() {
            TestGateway one = new TestGateway("one", "10.0.0.1");
            TestGateway two = new TestGateway("two", "10.0.0.2");
            two.registry.start(() -> {});
            one.registry.start(() -> {});
            assertThat(one.peers.targetHosts()).containsExactly("10.0.0.2");
            one.registry.removeRegistrations(List.of("10.0.0.2"));
            two.now = 60_000;
            TestGateway three = new TestGateway("three", "10.0.0.3");
            three.registry.start(() -> {});
            assertThat(three.peers.targetHosts()).containsExactly("10.0.0.1");
        }

        @Test
        void delaysRegistrationRetryWhenListOmitsIt() {
            TestGateway one = new TestGateway("one", "10.0.0.1");
            store.setObjectsHidden(true);
            one.registry.start(() -> {});
            assertThat(store.listCalls()).isEqualTo(1);
            one.runDelayedActions();
            assertThat(store.listCalls()).isEqualTo(2);
        }

        @Test
        void registersAgainAfterItsRegistrationIsRemoved() {
            TestGateway one = new TestGateway("one", "10.0.0.1");
            TestGateway two = new TestGateway("two", "10.0.0.2");
            one.registry.start(() -> {});
            two.registry.start(() -> {});
            two.registry.removeRegistrations(List.of("10.0.0.1"));
            one.now = 60_000;
            one.registry.listIfDue(true, false, one.now);
            one.runDelayedActions();
            TestGateway three = new TestGateway("three", "10.0.0.3");
            three.registry.start(() -> {});
            assertThat(three.peers.targetHosts()).containsExactlyInAnyOrder("10.0.0.1", "10.0.0.2");
        }
    }

    @Test
    void registersAgainAfterRestoreOfStore() {
        FakeStore.Copy empty = store.copy();
        TestGateway one = new TestGateway("one", "10.0.0.1");
        one.registry.start(() -> {});
        store.restore(empty);
        one.registry.onRestore();
        one.runDelayedActions();
        TestGateway two = new TestGateway("two", "10.0.0.2");
        two.registry.start(() -> {});
        assertThat(two.peers.targetHosts()).containsExactly("10.0.0.1");
    }
}
