package org.lovagethread.gateway.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.policy.ZoneTopology.Distance;

class RelayPeerSelectorTest {
    private static final long SEED = 7;

    private final RelayPeerSelector selector = new RelayPeerSelector(new Random(SEED)::nextDouble);

    private static RelayPeer peer(int port, Distance distance, boolean reachedUpstream, int relayedRequests) {
        return new RelayPeer(
                InetSocketAddress.createUnresolved("10.0.0.1", port), distance, reachedUpstream, relayedRequests);
    }

    private static RelayPeer near(int port, int relayedRequests) {
        return peer(port, Distance.SAME_ZONE, true, relayedRequests);
    }

    @Nested
    class Selection {
        @Test
        void prefersPeersThatReachedAnUpstreamToNearOnes() {
            RelayPeer near = peer(1, Distance.SAME_ZONE, false, 0);
            RelayPeer far = peer(2, Distance.OTHER_REGION, true, 9);
            assertThat(selector.select(List.of(near, far), Set.of())).contains(far);
        }

        @Test
        void prefersTheNearestZone() {
            RelayPeer sameRegion = peer(1, Distance.SAME_REGION, true, 0);
            assertThat(selector.select(List.of(sameRegion, near(2, 9)), Set.of()))
                    .contains(near(2, 9));
        }

        @Test
        void prefersTheLessBusyOfTwo() {
            for (int i = 0; i < 20; i++) {
                assertThat(selector.select(List.of(near(1, 5), near(2, 4)), Set.of()))
                        .contains(near(2, 4));
            }
        }

        @Test
        void countsOwnRequestsThatThePeerHasNotReported() {
            List<RelayPeer> peers = List.of(near(1, 0), near(2, 1));
            selector.recordStart(near(1, 0).address());
            selector.recordStart(near(1, 0).address());
            assertThat(selector.select(peers, Set.of())).contains(near(2, 1));
            selector.recordEnd(near(1, 0).address());
            selector.recordEnd(near(1, 0).address());
            assertThat(selector.select(peers, Set.of())).contains(near(1, 0));
        }

        @Test
        void omitsTriedPeers() {
            assertThat(selector.select(List.of(near(1, 0)), Set.of(near(1, 0).address())))
                    .isEmpty();
        }

        @Test
        void omitsPeersWithTooManyRequests() {
            for (int i = 0; i < RelayPeerSelector.MAX_REQUESTS_PER_PEER; i++) {
                selector.recordStart(near(1, 0).address());
            }
            assertThat(selector.select(List.of(near(1, 0)), Set.of())).isEmpty();
        }
    }
}
