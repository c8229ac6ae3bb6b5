package org.lovagethread.gateway.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagethread.gateway.config.Route;

/**
 * Bounds of the requirements that are not met, see KNOWN-RED.txt. {@code mvn verify} does not run this class because of
 * its name; {@code -Dtest=FairnessPageBounds} does.
 */
class FairnessPageBounds {
    private static final double USUAL_PER_SECOND = 700;
    private static final List<Route> ROUTES = List.of(FairnessResult.URGENT);

    /** Guards against a customer whose excess delays the requests of the others. */
    @ParameterizedTest
    @ValueSource(doubles = {2, 7, 20})
    void timesOfOtherCustomersChangeByLessThanTenth(double factor) {
        FairnessResult usual = FairnessResult.of(USUAL_PER_SECOND, 1, ROUTES, true, 0);
        FairnessResult increased = FairnessResult.of(USUAL_PER_SECOND, factor, ROUTES, true, 0);
        for (int customer = 0; customer < FairnessResult.OTHERS; customer++) {
            assertThat(increased.percentile95(customer))
                    .as("customer %d; %s", customer, increased)
                    .isCloseTo(usual.percentile95(customer), Percentage.withPercentage(10));
        }
    }

    /** Guards against capacity that is left unused in order to keep the wait short. */
    @Test
    void throughputIsThatOfFirstComeFirstServed() {
        FairnessResult firstCome = FairnessResult.of(USUAL_PER_SECOND, 20, ROUTES, false, 0);
        FairnessResult fair = FairnessResult.of(USUAL_PER_SECOND, 20, ROUTES, true, 0);
        assertThat(fair.throughput()).isGreaterThan(0.98 * firstCome.throughput());
    }
}
