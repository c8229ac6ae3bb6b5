package org.lovagethread.gateway.policy;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Max-min fair division of the capacity of one service between customers.
 *
 * <p>The more urgent ranks are served first. Within the rank for which the capacity is not sufficient, each customer
 * receives what it demands up to a common level, and customers that demand more receive the level.
 */
final class FairShares {
    private final Map<Integer, RankDemand> ranks = new TreeMap<>();
    private final Map<WorkLedger.Key, Double> demandByKey = new HashMap<>();
    private double servedRate;
    private double demandRate;

    /** The demands of one rank in ascending order, with the sums of the lowest ones. */
    private static final class RankDemand {
        private final double[] sorted;
        private final double[] prefixSums;
        private double moreUrgent;

        private RankDemand(double[] demands) {
            sorted = demands;
            Arrays.sort(sorted);
            prefixSums = new double[sorted.length + 1];
            for (int i = 0; i < sorted.length; i++) {
                prefixSums[i + 1] = prefixSums[i] + sorted[i];
            }
        }

        private double total() {
            return prefixSums[sorted.length];
        }

        /** Returns the level up to which demands are met; infinite if the capacity is sufficient for all. */
        private double level(double capacity) {
            if (total() <= capacity) {
                return Double.POSITIVE_INFINITY;
            }
            // The result is the number of the lowest demands that are met completely.
            int low = 0;
            int high = sorted.length - 1;
            while (low < high) {
                int middle = (low + high) / 2;
                if (prefixSums[middle] + sorted[middle] * (sorted.length - middle) <= capacity) {
                    low = middle + 1;
                } else {
                    high = middle;
                }
            }
            return Math.max(0, capacity - prefixSums[low]) / (sorted.length - low);
        }
    }

    /**
     * Creates the shares for the current rates of a service.
     *
     * @param rates the rates of all customers
     */
    FairShares(List<WorkLedger.Rates> rates) {
        Map<Integer, double[]> demands = new HashMap<>();
        Map<Integer, Integer> counts = new HashMap<>();
        rates.forEach(rate -> counts.merge(rate.key().rank(), 1, Integer::sum));
        counts.forEach((rank, count) -> demands.put(rank, new double[count]));
        for (WorkLedger.Rates rate : rates) {
            int rank = rate.key().rank();
            demands.get(rank)[counts.merge(rank, -1, Integer::sum)] = rate.demanded();
            demandByKey.put(rate.key(), rate.demanded());
            servedRate += rate.served();
        }
        demands.forEach((rank, values) -> ranks.put(rank, new RankDemand(values)));
        double moreUrgent = 0;
        for (RankDemand demand : ranks.values()) {
            demand.moreUrgent = moreUrgent;
            moreUrgent += demand.total();
        }
        demandRate = moreUrgent;
    }

    /** Returns the work that is served at present, in tokens per millisecond. */
    double servedRate() {
        return servedRate;
    }

    /**
     * Returns whether a capacity is sufficient for the demand of all customers.
     *
     * @param capacity the capacity in tokens per millisecond
     */
    boolean meetsDemand(double capacity) {
        return demandRate <= capacity;
    }

    /**
     * Returns the share of a customer's demand that is within its fair share.
     *
     * @param key the customer and the rank
     * @param capacity the capacity to divide, in tokens per millisecond
     * @return the share, from zero to one
     */
    double withinShare(WorkLedger.Key key, double capacity) {
        RankDemand rank = ranks.get(key.rank());
        double demanded = demandByKey.getOrDefault(key, 0.0);
        if (rank == null || demanded <= 0) {
            return 1;
        }
        double level = rank.level(capacity - rank.moreUrgent);
        return level >= demanded ? 1 : level / demanded;
    }
}
