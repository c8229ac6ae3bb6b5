package org.lovagethread.gateway.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LinkStatementTest {
    private static final LinkStatement NEVER_REACHED = new LinkStatement(false, OptionalLong.empty());

    private static LinkStatement connected(long ageMillis) {
        return new LinkStatement(false, OptionalLong.of(ageMillis));
    }

    private static LinkStatement isolated(long ageMillis) {
        return new LinkStatement(true, OptionalLong.of(ageMillis));
    }

    @Nested
    class Combination {
        @Test
        void hasTheLatestContact() {
            assertThat(LinkStatement.combine(List.of(connected(300), NEVER_REACHED, connected(200))))
                    .isEqualTo(connected(200));
        }

        @Test
        void leavesOutContactsOfIsolatedGateways() {
            assertThat(LinkStatement.combine(List.of(isolated(10), connected(200))))
                    .isEqualTo(connected(200));
        }

        @Test
        void isIsolatedIfAllAre() {
            assertThat(LinkStatement.combine(List.of(isolated(10), isolated(20))))
                    .isEqualTo(new LinkStatement(true, OptionalLong.empty()));
        }
    }

    @Nested
    class Delay {
        @Test
        void raisesTheAge() {
            assertThat(isolated(10).delayedBy(5)).isEqualTo(isolated(15));
        }

        @Test
        void leavesAMissingAge() {
            assertThat(NEVER_REACHED.delayedBy(5)).isEqualTo(NEVER_REACHED);
        }
    }
}
