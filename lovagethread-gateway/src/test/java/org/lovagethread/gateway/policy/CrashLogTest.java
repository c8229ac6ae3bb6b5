package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamTable;

class CrashLogTest {
    private static final long WAITED_MILLIS = 50;
    private static final PromptPrefix PROMPT = PromptPrefix.parse("a:10,b:20,own:5");
    private static final UpstreamEntry FIRST = entry("i-1", 7);

    private final UpstreamTable upstreams = new UpstreamTable();
    private final CrashLog log = new CrashLog();

    CrashLogTest() {
        upstreams.put(FIRST, 1, 0);
    }

    private static UpstreamEntry entry(String id, long startedAtMillis) {
        return new UpstreamEntry(id, "desk", "10.0.0.1", 80, "a", 6, false, false, startedAtMillis);
    }

    @Nested
    class BrokenConnections {
        @Test
        void ofOneIncarnationAreOneCrash() {
            log.recordBreak(FIRST, PROMPT, false, 1_000 - WAITED_MILLIS, 1_000);
            log.recordBreak(FIRST, PromptPrefix.parse("c:1,own:1"), false, 1_005 - WAITED_MILLIS, 1_005);
            log.recordBreak(FIRST, PromptPrefix.parse("d:1,own:1"), true, 1_005 - WAITED_MILLIS, 1_005);
            assertThat(log.crashes()).singleElement().satisfies(crash -> {
                assertThat(crash.atMillis()).isEqualTo(1_000);
                assertThat(crash.brokenRequests()).isEqualTo(3);
                assertThat(crash.unansweredRequests()).isEqualTo(2);
                assertThat(crash.interruptedParts()).containsExactly("a", "b", "c", "d");
                assertThat(crash.unansweredParts()).containsExactly("a", "b", "c");
                assertThat(crash.longestWaitMillis()).isEqualTo(WAITED_MILLIS);
            });
        }

        @Test
        void ofTwoIncarnationsAreTwoCrashes() {
            log.recordBreak(FIRST, PROMPT, false, 1_000 - WAITED_MILLIS, 1_000);
            log.recordBreak(entry("i-1", 8), PROMPT, false, 5_000 - WAITED_MILLIS, 5_000);
            assertThat(log.crashes()).hasSize(2).extracting(CrashLog.Crash::id).doesNotHaveDuplicates();
        }

        @Test
        void ofAnIncarnationThatGoesOnSendingDataAreNoCrash() {
            log.recordBreak(FIRST, PROMPT, false, 1_000 - WAITED_MILLIS, 1_000);
            upstreams.find("i-1").orElseThrow().recordReceived(1_400);
            log.update(upstreams, 1_500);
            assertThat(log.crashes()).isEmpty();
            assertThat(log.takeUnreported(1_500)).singleElement().matches(CrashLog.Crash::isRefuted);
        }

        @Test
        void areACrashAlthoughDataThatWasSentBeforeIsReadAfterwards() {
            log.recordBreak(FIRST, PROMPT, false, 1_000 - WAITED_MILLIS, 1_000);
            upstreams.find("i-1").orElseThrow().recordReceived(1_100);
            log.update(upstreams, 1_500);
            assertThat(log.crashes()).hasSize(1);
        }

        @Test
        void areACrashAlthoughTheNextIncarnationSendsData() {
            log.recordBreak(FIRST, PROMPT, false, 1_000 - WAITED_MILLIS, 1_000);
            upstreams.put(entry("i-1", 8), 2, 3_000);
            upstreams.find("i-1").orElseThrow().recordReceived(3_500);
            log.update(upstreams, 3_500);
            assertThat(log.crashes()).hasSize(1);
        }
    }

    @Nested
    class Crashes {
        @Test
        void areReportedOnce() {
            log.recordBreak(FIRST, PROMPT, false, 1_000 - WAITED_MILLIS, 1_000);
            assertThat(log.takeUnreported(1_100)).isEmpty();
            assertThat(log.takeUnreported(1_500)).hasSize(1);
            assertThat(log.takeUnreported(1_600)).isEmpty();
        }

        @Test
        void areDiscardedAfterAWhile() {
            log.recordBreak(FIRST, PROMPT, false, 1_000 - WAITED_MILLIS, 1_000);
            log.update(upstreams, 1_000 + CrashLog.RETENTION_MILLIS);
            assertThat(log.crashes()).isEmpty();
        }
    }
}
