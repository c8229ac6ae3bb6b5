package org.lovagethread.gateway.duty;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ZoneDemandTest {
    private static final List<String> ZONES = List.of("a", "b");

    private final Map<String, Double> latest = new HashMap<>();
    private final ZoneDemand demand = new ZoneDemand();

    private Map<String, Double> update(int times) {
        demand.source(service -> latest);
        Map<String, Double> shares = Map.of();
        for (int i = 0; i < times; i++) {
            shares = demand.update("pool", ZONES);
        }
        return shares;
    }

    /** Guards against an uneven distribution before any report has arrived. */
    @Test
    void isUnknownWithoutReports() {
        assertThat(update(10)).isEmpty();
    }

    /** Guards against instances that are replaced because of small changes of the demand. */
    @Test
    void changesSharesOnlySubstantially() {
        latest.putAll(Map.of("a", 5_000.0, "b", 5_000.0));
        Map<String, Double> initial = update(300);
        latest.put("a", 6_000.0);
        assertThat(update(300)).isEqualTo(initial);
        latest.put("a", 15_000.0);
        assertThat(update(300).get("a")).isCloseTo(0.75, within(0.1));
    }
}
