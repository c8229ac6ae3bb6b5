package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ResponseMemoryTest {
    private static final long LIMIT_BYTES = 100;

    private final ResponseMemory memory = new ResponseMemory(LIMIT_BYTES);

    /** A response whose size the test sets. */
    private static final class FakeHolder implements ResponseMemory.Holder {
        private long bytes;
        private boolean evicted;

        @Override
        public long bufferedBytes() {
            return bytes;
        }

        @Override
        public void evict() {
            evicted = true;
        }
    }

    private FakeHolder hold(long bytes) {
        FakeHolder holder = new FakeHolder();
        holder.bytes = bytes;
        memory.update(holder);
        return holder;
    }

    @Test
    void evictsTheLargestResponseIfTheLimitIsExceeded() {
        FakeHolder small = hold(20);
        FakeHolder large = hold(60);
        FakeHolder last = hold(40);
        assertThat(large.evicted).isTrue();
        assertThat(small.evicted || last.evicted).isFalse();
        assertThat(memory.totalBytes()).isEqualTo(60);
    }

    @Test
    void countsOnlyWhatIsStillBuffered() {
        FakeHolder holder = hold(80);
        holder.bytes = 10;
        memory.update(holder);
        assertThat(memory.totalBytes()).isEqualTo(10);
        holder.bytes = 0;
        memory.update(holder);
        assertThat(memory.totalBytes()).isZero();
    }

    @Test
    void ignoresTheEndOfAResponseThatWasNotCounted() {
        FakeHolder holder = hold(80);
        memory.release(holder);
        memory.release(holder);
        assertThat(memory.totalBytes()).isZero();
    }

    @Test
    void evictsAResponseThatExceedsTheLimitAlone() {
        assertThat(hold(LIMIT_BYTES + 1).evicted).isTrue();
        assertThat(memory.totalBytes()).isZero();
    }
}
