package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.policy.AddressPolicy.GatewayAddress;

class AddressPolicyTest {
    private final AddressPolicy policy =
            new AddressPolicy(new ZoneTopology("a", Map.of("a", "north", "b", "north", "c", "south")));

    @Test
    void selectsGatewaysOfSameZone() {
        List<GatewayAddress> gateways = List.of(
                new GatewayAddress("1", "a"),
                new GatewayAddress("2", "a"),
                new GatewayAddress("3", "b"),
                new GatewayAddress("4", "c"));
        assertThat(policy.choose("a", gateways)).containsExactly("1", "2");
    }

    @Test
    void addsGatewaysOfRegionIfZoneHasTooFew() {
        List<GatewayAddress> gateways =
                List.of(new GatewayAddress("1", "a"), new GatewayAddress("3", "b"), new GatewayAddress("4", "c"));
        assertThat(policy.choose("a", gateways)).containsExactly("1", "3");
    }

    @Test
    void returnsEmptyListWithoutGateways() {
        assertThat(policy.choose("a", List.of())).isEmpty();
    }

    @Test
    void selectsAnyGatewayForUnknownZone() {
        assertThat(policy.choose("", List.of(new GatewayAddress("4", "c")))).containsExactly("4");
    }
}
