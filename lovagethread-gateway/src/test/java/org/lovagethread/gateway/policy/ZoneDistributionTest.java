package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ZoneDistributionTest {
    private static final List<String> ZONES = List.of("a", "b", "c");

    /** Guards against a distribution other than the even one when no demand is known. */
    @Test
    void isEvenWithoutShares() {
        assertThat(ZoneDistribution.distribute(ZONES, 12, 1, 6, Map.of())).isEqualTo(Map.of("a", 4, "b", 4, "c", 4));
    }

    /** Guards against instances that are far from the callers. */
    @Test
    void followsShares() {
        assertThat(ZoneDistribution.distribute(ZONES, 12, 1, 8, Map.of("a", 0.5, "b", 0.25, "c", 0.25)))
                .isEqualTo(Map.of("a", 6, "b", 3, "c", 3));
    }

    /** Guards against counts outside of the limits of the fleet. */
    @Test
    void staysWithinLimits() {
        assertThat(ZoneDistribution.distribute(ZONES, 12, 1, 5, Map.of("a", 1.0)))
                .containsEntry("a", 5)
                .satisfies(counts -> assertThat(counts.values().stream()
                                .mapToInt(count -> count)
                                .sum())
                        .isEqualTo(12));
        assertThat(ZoneDistribution.distribute(ZONES, 100, 0, 2, Map.of("a", 1.0)))
                .isEqualTo(Map.of("a", 2, "b", 2, "c", 2));
    }
}
