package org.lovagethread.gateway.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.LongToDoubleFunction;
import org.lovagethread.gateway.config.Customer;

/**
 * Gateways that exchange their grants to one customer, in virtual time: up to 12 in a full mesh, more in six cells
 * whose first gateway is the speaker.
 */
final class QuotaSimulation {
    private static final String CELL_PREFIX = "cell:";
    private static final int MESH_LIMIT = 12;
    private static final int CELLS = 6;
    private static final int WINDOW_MILLIS = 8_000;
    private static final long STEP_MILLIS = 5;

    private final Customer customer;
    private final int requestTokens;
    private final Random random;
    private final List<Node> nodes = new ArrayList<>();
    private final PriorityQueue<Message> messages =
            new PriorityQueue<>((a, b) -> Long.compare(a.arrivalMillis(), b.arrivalMillis()));
    private final List<long[]> grants = new ArrayList<>();
    private final Map<Long, List<Integer>> restarts = new HashMap<>();
    private final double[] weights;
    private final double tolerance;
    private final double toleranceTokens;
    private double lossProbability;
    private int maxDelayMillis = 5;
    private int refused;
    private int offered;
    private long refusedAfterMillis;

    /** A gateway with its part of the exchange of reports. */
    private final class Node {
        private final int index;
        private final long phaseMillis;
        private final Map<String, Long> sequences = new HashMap<>();
        private final Map<String, Long> summaries = new HashMap<>();
        private TokenQuota quota;
        private int incarnation;
        private long startedMillis;
        private long readyMillis;

        private Node(int index) {
            this.index = index;
            this.phaseMillis = random.nextInt(intervalMillis()) / STEP_MILLIS * STEP_MILLIS;
        }

        private void start(long nowMillis, long readyMillis) {
            quota = newQuota(nowMillis);
            incarnation++;
            sequences.clear();
            summaries.clear();
            this.startedMillis = nowMillis;
            this.readyMillis = readyMillis;
        }

        private String name() {
            return index + "#" + incarnation;
        }
    }

    private record Message(
            Node target, long arrivalMillis, long sentMillis, String peer, long uptimeMillis, long total) {}

    QuotaSimulation(int gateways, Customer customer, int requestTokens, long seed) {
        this.customer = customer;
        this.requestTokens = requestTokens;
        this.random = new Random(seed);
        this.tolerance = 0.1;
        this.toleranceTokens = 140_000;
        this.weights = new double[gateways];
        for (int i = 0; i < gateways; i++) {
            weights[i] = 1.0 / gateways;
            nodes.add(new Node(i));
        }
        nodes.forEach(node -> node.start(0, 0));
    }

    private TokenQuota newQuota(long nowMillis) {
        TokenQuota quota = new TokenQuota(tolerance, toleranceTokens, nowMillis, random::nextDouble);
        quota.tick(weights.length, nowMillis);
        return quota;
    }

    QuotaSimulation withNetwork(double newLossProbability, int newMaxDelayMillis) {
        lossProbability = newLossProbability;
        maxDelayMillis = newMaxDelayMillis;
        return this;
    }

    QuotaSimulation withAllTrafficAt(int gateway, double share) {
        for (int i = 0; i < weights.length; i++) {
            weights[i] = (i == gateway ? share : 0) + (1 - share) / weights.length;
        }
        return this;
    }

    QuotaSimulation countingRefusalsAfter(long millis) {
        refusedAfterMillis = millis;
        return this;
    }

    /** Runs until a time with a demand in tokens per second. */
    QuotaSimulation run(long fromMillis, long untilMillis, LongToDoubleFunction demand) {
        for (long now = fromMillis; now < untilMillis; now += STEP_MILLIS) {
            deliver(now);
            for (int gateway : restarts.getOrDefault(now, List.of())) {
                nodes.get(gateway).start(now, now + 1_000);
            }
            for (Node node : nodes) {
                if (now % intervalMillis() == node.phaseMillis) {
                    report(node, now);
                }
            }
            double expected = demand.applyAsDouble(now) * (double) STEP_MILLIS / 1_000 / requestTokens;
            for (int count = poisson(expected); count > 0; count--) {
                request(now);
            }
        }
        return this;
    }

    /** Restarts a gateway that is ready again a second later, as a further action of {@link #run}. */
    QuotaSimulation withRestart(long millis, int gateway) {
        restarts.computeIfAbsent(millis, key -> new ArrayList<>()).add(gateway);
        return this;
    }

    /** Returns the highest number of tokens in excess of the quota in a window, as a share of the tolerance. */
    double usedTolerance() {
        double quota = customer.tokensPerSecond() * WINDOW_MILLIS / 1_000 + customer.burstTokens();
        return (maxWindowTokens() - quota) / (quota * tolerance + toleranceTokens);
    }

    double refusedShare() {
        return (double) refused / Math.max(1, offered);
    }

    long grantedTokens(long fromMillis, long untilMillis) {
        return grants.stream()
                .filter(grant -> grant[0] >= fromMillis && grant[0] < untilMillis)
                .mapToLong(grant -> grant[1])
                .sum();
    }

    private long maxWindowTokens() {
        long sum = 0;
        long highest = 0;
        int oldest = 0;
        for (long[] grant : grants) {
            sum += grant[1];
            while (grants.get(oldest)[0] <= grant[0] - WINDOW_MILLIS) {
                sum -= grants.get(oldest++)[1];
            }
            highest = Math.max(highest, sum);
        }
        return highest;
    }

    private void request(long now) {
        Node node = nodes.get(chooseGateway());
        if (now < node.readyMillis) {
            return;
        }
        long tokens = requestTokens / 2 + (long) random.nextInt(requestTokens);
        boolean granted = node.quota.tryAcquire(customer, tokens, 0, now);
        if (granted) {
            grants.add(new long[] {now, tokens});
        }
        if (now >= refusedAfterMillis) {
            offered++;
            refused += granted ? 0 : 1;
        }
    }

    private int chooseGateway() {
        double remaining = random.nextDouble();
        for (int i = 0; i < weights.length; i++) {
            remaining -= weights[i];
            if (remaining < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }

    private int poisson(double mean) {
        double limit = Math.exp(-mean);
        int count = 0;
        for (double product = random.nextDouble(); product > limit; product *= random.nextDouble()) {
            count++;
        }
        return count;
    }

    private boolean usesCells() {
        return weights.length > MESH_LIMIT;
    }

    private int intervalMillis() {
        return usesCells() ? 250 : 140;
    }

    private void report(Node node, long now) {
        long total = node.quota.totals().getOrDefault(customer.name(), 0L);
        for (Node other : nodes) {
            if (other != node && (!usesCells() || other.index % CELLS == node.index % CELLS)) {
                send(other, node.name(), now - node.startedMillis, total, now);
            }
        }
        if (usesCells() && node.index < CELLS) {
            long sum = node.quota.totalsExcept(CELL_PREFIX).getOrDefault(customer.name(), 0L);
            nodes.subList(0, CELLS).stream()
                    .filter(other -> other != node)
                    .forEach(other -> send(other, CELL_PREFIX + node.name(), Long.MAX_VALUE, sum, now));
            nodes.stream()
                    .filter(other -> other != node && other.index % CELLS == node.index)
                    .forEach(other ->
                            node.summaries.forEach((cell, cellSum) -> send(other, cell, Long.MAX_VALUE, cellSum, now)));
        }
    }

    private void send(Node target, String peer, long uptimeMillis, long total, long now) {
        if (random.nextDouble() >= lossProbability) {
            messages.add(new Message(target, now + 1 + random.nextInt(maxDelayMillis), now, peer, uptimeMillis, total));
        }
    }

    private void deliver(long now) {
        while (!messages.isEmpty() && messages.peek().arrivalMillis() <= now) {
            Message message = messages.poll();
            Node target = message.target();
            if (target.sequences.getOrDefault(message.peer(), -1L) >= message.sentMillis() || message.total() == 0) {
                continue;
            }
            target.sequences.put(message.peer(), message.sentMillis());
            target.quota.update(message.peer(), message.uptimeMillis(), customer.name(), message.total(), now);
            if (message.peer().startsWith(CELL_PREFIX)) {
                target.summaries.put(message.peer(), message.total());
            }
        }
    }
}
