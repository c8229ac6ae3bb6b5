package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RetryBudgetTest {
    private static final long WINDOW_MILLIS = 10_000;

    private static int countAllowed(RetryBudget budget, int gateways, long nowMillis) {
        int count = 0;
        while (count < 10_000 && budget.tryWithdraw("desk", gateways, nowMillis)) {
            count++;
        }
        return count;
    }

    @Test
    void limitsTotalOfAllGatewaysToRatioAndAllowance() {
        int gateways = 6;
        int total = 0;
        for (int i = 0; i < gateways; i++) {
            RetryBudget budget = new RetryBudget(0.2, 52, WINDOW_MILLIS);
            for (int k = 0; k < 100; k++) {
                budget.recordRequest("desk", k * 100L);
            }
            total += countAllowed(budget, gateways, 9_999);
        }
        assertThat(total).isPositive().isLessThanOrEqualTo((int) (0.2 * 600 + 52));
    }

    @Test
    void isReplenishedAfterWindow() {
        RetryBudget budget = new RetryBudget(0.2, 52, WINDOW_MILLIS);
        int first = countAllowed(budget, 1, 0);
        assertThat(countAllowed(budget, 1, 5_000)).isZero();
        assertThat(countAllowed(budget, 1, 2 * WINDOW_MILLIS)).isEqualTo(first);
    }

    @Test
    void countsServicesSeparately() {
        RetryBudget budget = new RetryBudget(0.2, 52, WINDOW_MILLIS);
        countAllowed(budget, 1, 0);
        assertThat(budget.tryWithdraw("other", 1, 0)).isTrue();
    }
}
