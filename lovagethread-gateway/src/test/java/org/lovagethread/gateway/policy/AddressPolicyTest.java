package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.policy.AddressPolicy.Entrance;

class AddressPolicyTest {
    private final AddressPolicy policy =
            new AddressPolicy(new Zones("a", Map.of("a", "north", "b", "north", "c", "south")));

    @Test
    void selectsGatewaysOfSameZone() {
        List<Entrance> gateways =
                List.of(new Entrance("1", "a"), new Entrance("2", "a"), new Entrance("3", "b"), new Entrance("4", "c"));
        assertThat(policy.choose("a", gateways)).containsExactly("1", "2");
    }

    @Test
    void addsGatewaysOfRegionIfZoneHasTooFew() {
        List<Entrance> gateways = List.of(new Entrance("1", "a"), new Entrance("3", "b"), new Entrance("4", "c"));
        assertThat(policy.choose("a", gateways)).containsExactly("1", "3");
    }

    @Test
    void returnsEmptyListWithoutGateways() {
        assertThat(policy.choose("a", List.of())).isEmpty();
    }

    @Test
    void selectsAnyGatewayForUnknownZone() {
        assertThat(policy.choose("", List.of(new Entrance("4", "c")))).containsExactly("4");
    }
}
