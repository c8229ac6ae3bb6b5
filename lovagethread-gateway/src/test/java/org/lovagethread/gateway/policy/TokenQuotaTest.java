package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.config.Customer;

class TokenQuotaTest {
    private static final Customer CUSTOMER = new Customer("ice", 1, 100_000, 100_000, 200);
    private static final long REQUEST_TOKENS = 2_000;

    /** Time at which a bucket that was empty at the start is full. */
    private static final long FULL_MILLIS = 1_000;

    /** Simulates gateways whose load exceeds the quota and whose reports are delayed; returns the granted tokens. */
    private static long simulate(int gateways, long millis, long reportIntervalMillis, boolean partitioned) {
        List<TokenQuota> quotas = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            quotas.add(new TokenQuota(0, 0, 0, () -> 0.5));
        }
        double unreachableShare = partitioned ? (gateways - 1.0) / gateways : 0;
        long granted = 0;
        for (long now = 0; now < millis; now += 5) {
            for (TokenQuota quota : quotas) {
                granted += quota.tryAcquire(CUSTOMER, REQUEST_TOKENS, unreachableShare, now) ? REQUEST_TOKENS : 0;
            }
            if (!partitioned && now % reportIntervalMillis == 0) {
                exchangeTotals(quotas, now);
            }
        }
        return granted;
    }

    private static void exchangeTotals(List<TokenQuota> quotas, long nowMillis) {
        Map<Integer, Long> totals = new HashMap<>();
        for (int i = 0; i < quotas.size(); i++) {
            totals.put(i, quotas.get(i).totals().getOrDefault(CUSTOMER.name(), 0L));
        }
        for (int i = 0; i < quotas.size(); i++) {
            for (int k = 0; k < quotas.size(); k++) {
                if (i != k) {
                    quotas.get(i).update("peer-" + k, nowMillis, CUSTOMER.name(), totals.get(k), nowMillis);
                }
            }
        }
    }

    @Nested
    class OverloadingCustomer {
        @Test
        void isLimitedToItsRateOverAllGateways() {
            long granted = simulate(6, 20_000, 150, false);
            assertThat(granted).isBetween(1_900_000L, 2_300_000L);
        }

        @Test
        void isLimitedDespiteInfrequentReports() {
            long granted = simulate(12, 20_000, 500, false);
            assertThat(granted).isBetween(1_800_000L, 2_600_000L);
        }

        @Test
        void isLimitedDuringPartition() {
            long granted = simulate(6, 20_000, 150, true);
            assertThat(granted).isLessThan(2_000_000L + 6 * 100_000L + 1);
        }
    }

    @Nested
    class Start {
        /** Guards against a full bucket at each start, with which restarts exceeded the quota. */
        @Test
        void grantsOnlyWhatWasRefilledSince() {
            TokenQuota quota = new TokenQuota(0, 0, 5_000, () -> 0.5);
            assertThat(quota.tryAcquire(CUSTOMER, 1, 0, 5_000)).isFalse();
            assertThat(quota.tryAcquire(CUSTOMER, 50_000, 0, 5_500)).isTrue();
            assertThat(quota.tryAcquire(CUSTOMER, 1, 0, 5_500)).isFalse();
        }
    }

    @Nested
    class UnreachablePeers {
        /** Guards against refusals for seconds after a partition, in which the peers granted their reserved part. */
        @Test
        void areChargedToTheirReserve() {
            TokenQuota quota = new TokenQuota(0, 0, 0, () -> 0.5);
            quota.update("peer", Long.MAX_VALUE, CUSTOMER.name(), 100, 900);
            assertThat(quota.tryAcquire(CUSTOMER, 2_000, 0.5, FULL_MILLIS)).isTrue();
            assertThat(quota.tryAcquire(CUSTOMER, 49_000, 0.5, FULL_MILLIS)).isFalse();
            quota.update("peer", Long.MAX_VALUE, CUSTOMER.name(), 50_100, 1_500);
            assertThat(quota.tryAcquire(CUSTOMER, 2_000, 0, 1_500)).isTrue();
        }
    }

    @Nested
    class Refusal {
        @Test
        void returnsTimeUntilBucketHoldsEnough() {
            TokenQuota quota = new TokenQuota(0, 0, 0, () -> 0.5);
            assertThat(quota.tryAcquire(CUSTOMER, 100_000, 0, FULL_MILLIS)).isTrue();
            assertThat(quota.tryAcquire(CUSTOMER, 50_000, 0, FULL_MILLIS)).isFalse();
            assertThat(quota.waitMillis(CUSTOMER, 50_000)).isEqualTo(500);
        }

        @Test
        void isAvoidedAfterRefund() {
            TokenQuota quota = new TokenQuota(0, 0, 0, () -> 0.5);
            quota.tryAcquire(CUSTOMER, 100_000, 0, FULL_MILLIS);
            quota.refund("ice", 100_000);
            assertThat(quota.tryAcquire(CUSTOMER, 100_000, 0, FULL_MILLIS)).isTrue();
        }

        @Test
        void neverOccursWithoutQuota() {
            Customer unlimited = new Customer("pond", 1, 0, 0, 200);
            assertThat(new TokenQuota(0, 0, 0, () -> 0.5).tryAcquire(unlimited, 1_000_000_000, 0, 0))
                    .isTrue();
        }
    }
}
