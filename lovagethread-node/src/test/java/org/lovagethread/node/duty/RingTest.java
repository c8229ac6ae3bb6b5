package org.lovagethread.node.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests {@link Ring}. */
class RingTest {
    private static final int PER_PRODUCER = 20_000;

    private record Entry(int producer, int number) {}

    @Test
    void refusesAnEntryWhenFull() {
        Ring<Integer> ring = new Ring<>(2);
        assertThat(ring.offer(1)).isTrue();
        assertThat(ring.offer(2)).isTrue();
        assertThat(ring.offer(3)).isFalse();
        assertThat(ring.take(0)).isEqualTo(1);
    }

    @Test
    void losesNothingAndKeepsTheOrderOfEachProducer() throws InterruptedException {
        Ring<Entry> ring = new Ring<>(64);
        Thread[] producers = new Thread[3];
        for (int p = 0; p < producers.length; p++) {
            int producer = p;
            producers[p] = new Thread(() -> {
                for (int i = 0; i < PER_PRODUCER; i++) {
                    ring.put(new Entry(producer, i));
                }
            });
            producers[p].start();
        }
        Map<Integer, Integer> next = new HashMap<>();
        for (int i = 0; i < producers.length * PER_PRODUCER; ) {
            Entry entry = ring.take(100);
            if (entry != null) {
                assertThat(entry.number()).isEqualTo(next.getOrDefault(entry.producer(), 0));
                next.put(entry.producer(), entry.number() + 1);
                i++;
            }
        }
        for (Thread producer : producers) {
            producer.join();
        }
        assertThat(ring.depth()).isZero();
    }
}
