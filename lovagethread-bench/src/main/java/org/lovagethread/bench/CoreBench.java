package org.lovagethread.bench;

import java.util.ArrayList;
import java.util.List;

/**
 * Measures the time per event and the heap memory per item of a core, while the number of members, upstreams, customers
 * or streams varies.
 */
final class CoreBench {
    private static final int[] CUSTOMERS = {5, 20, 80, 320};
    private static final int EVENTS = 1_000_000;
    private static final int[] MEMBERS = {6, 12, 48, 340};
    private static final double NANOS_PER_SECOND = 1e9;
    private static final int ROUNDS = 3;
    private static final int[] STREAMS = {16, 64, 256, 1_024, 4_096};
    private static final int[] UPSTREAMS = {8, 16, 64, 256, 600};
    private static final int WARM_UP_EVENTS = 2_000_000;

    private CoreBench() {}

    static void run() {
        new CoreDriver(6, 12, 5).run(64, WARM_UP_EVENTS);
        System.out.printf("%-10s %8s %12s %14s%n", "VARIED", "SIZE", "NS/EVENT", "EVENTS/S");
        for (int members : MEMBERS) {
            reportEventCost("members", members, members, 12, 5, 64);
        }
        for (int upstreams : UPSTREAMS) {
            reportEventCost("upstreams", upstreams, 6, upstreams, 5, 64);
        }
        for (int customers : CUSTOMERS) {
            reportEventCost("customers", customers, 6, 12, customers, 64);
        }
        for (int streams : STREAMS) {
            reportEventCost("streams", streams, 6, 12, 5, streams);
        }
        reportMemory();
    }

    private static void reportEventCost(
            String dimension, int size, int members, int upstreams, int customers, int streams) {
        double bestNanosPerEvent = Double.MAX_VALUE;
        for (int round = 0; round < ROUNDS; round++) {
            CoreDriver driver = new CoreDriver(members, upstreams, customers);
            driver.run(streams, EVENTS / 4);
            long startedNanos = System.nanoTime();
            driver.run(streams, EVENTS);
            bestNanosPerEvent = Math.min(bestNanosPerEvent, (double) (System.nanoTime() - startedNanos) / EVENTS);
        }
        System.out.printf(
                "%-10s %8d %12.0f %14.0f%n", dimension, size, bestNanosPerEvent, NANOS_PER_SECOND / bestNanosPerEvent);
    }

    private static void reportMemory() {
        measureHeapBytes(6, 12, 64);
        System.out.printf("%n%-10s %8s %14s %14s%n", "MEMORY OF", "SIZE", "BYTES", "BYTES/ITEM");
        for (int members : MEMBERS) {
            reportMemory("members", members, members, 12, 0);
        }
        for (int upstreams : UPSTREAMS) {
            reportMemory("upstreams", upstreams, 6, upstreams, 0);
        }
        for (int streams : STREAMS) {
            reportMemory("streams", streams, 6, 12, streams);
        }
    }

    private static void reportMemory(String dimension, int size, int members, int upstreams, int streams) {
        long bytes = measureHeapBytes(members, upstreams, streams);
        System.out.printf("%-10s %8d %14d %14d%n", dimension, size, bytes, bytes / size);
    }

    private static long measureHeapBytes(int members, int upstreams, int streams) {
        List<CoreDriver> drivers = new ArrayList<>();
        int copies = 8;
        long usedBefore = usedHeapBytes();
        for (int i = 0; i < copies; i++) {
            CoreDriver driver = new CoreDriver(members, upstreams, 5);
            driver.run(streams, streams * 2);
            drivers.add(driver);
        }
        return (usedHeapBytes() - usedBefore) / drivers.size();
    }

    private static long usedHeapBytes() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
