package org.lovagethread.node.worker;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests {@link MpscQueue}. */
class MpscQueueTest {
    private static final int ENTRIES_PER_PRODUCER = 20_000;

    private record Entry(int producer, int number) {}

    @Test
    void rejectsEntryWhenFull() {
        MpscQueue<Integer> queue = new MpscQueue<>(2);
        assertThat(queue.offer(1)).isTrue();
        assertThat(queue.offer(2)).isTrue();
        assertThat(queue.offer(3)).isFalse();
        assertThat(queue.poll(0)).isEqualTo(1);
    }

    @Test
    void keepsAllEntriesInOrderOfEachProducer() throws InterruptedException {
        MpscQueue<Entry> queue = new MpscQueue<>(64);
        Thread[] producers = new Thread[3];
        for (int p = 0; p < producers.length; p++) {
            int producer = p;
            producers[p] = new Thread(() -> {
                for (int i = 0; i < ENTRIES_PER_PRODUCER; i++) {
                    queue.put(new Entry(producer, i));
                }
            });
            producers[p].start();
        }
        Map<Integer, Integer> nextNumbers = new HashMap<>();
        for (int i = 0; i < producers.length * ENTRIES_PER_PRODUCER; ) {
            Entry entry = queue.poll(100);
            if (entry != null) {
                assertThat(entry.number()).isEqualTo(nextNumbers.getOrDefault(entry.producer(), 0));
                nextNumbers.put(entry.producer(), entry.number() + 1);
                i++;
            }
        }
        for (Thread producer : producers) {
            producer.join();
        }
        assertThat(queue.depth()).isZero();
    }
}
