package org.lovagethread.gateway.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.policy.PromptQuarantine.ChangeKind;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamTable;

class PromptQuarantineTest {
    private static final PromptPrefix DEADLY = PromptPrefix.parse("common:5,deadly:5,own:1");
    private static final int CRASHES = 8;
    private static final long WAITED_MILLIS = 50;

    private final UpstreamTable upstreams = new UpstreamTable();
    private boolean answered;
    private final PromptQuarantine first = new PromptQuarantine();
    private final PromptQuarantine second = new PromptQuarantine();

    private static UpstreamEntry upstream(int index) {
        return new UpstreamEntry("i-" + index, "pool", "10.0.0.1", 80, "a", 6, false, false, 1);
    }

    /** Lets upstreams crash one after the other, while prompts without the part are answered. */
    private long crashUpstreams(PromptQuarantine quarantine, boolean othersAnswered) {
        long nowMillis = 1_000;
        for (int i = 0; i < CRASHES; i++) {
            quarantine.recordBreak(upstream(i), DEADLY, answered, nowMillis - WAITED_MILLIS, nowMillis);
            nowMillis += 300;
            for (int j = 0; othersAnswered && j < 10; j++) {
                quarantine.recordBeginning(
                        "pool", PromptPrefix.parse("common:5,doc-" + i + "-" + j + ":5,own:1"), nowMillis);
                quarantine.recordCompletion(
                        "pool", PromptPrefix.parse("common:5,doc-" + i + "-" + j + ":5,own:1"), nowMillis);
            }
        }
        return nowMillis;
    }

    @Nested
    class Parts {
        @Test
        void thatAreUnansweredAtCrashAfterCrashAreQuarantined() {
            long nowMillis = crashUpstreams(first, true);
            assertThat(first.evaluate(upstreams, nowMillis))
                    .filteredOn(change -> change.kind() == ChangeKind.QUARANTINED)
                    .extracting(PromptQuarantine.Change::part)
                    .containsExactly("deadly");
            assertThat(first.isQuarantined(DEADLY)).isTrue();
            assertThat(first.isQuarantined(PromptPrefix.parse("common:5,own:1")))
                    .isFalse();
        }

        // A part that crashes upstreams after their first event was never refused.
        @Test
        void thatAreInInterruptedResponsesAtCrashAfterCrashAreQuarantined() {
            answered = true;
            first.evaluate(upstreams, crashUpstreams(first, true));
            assertThat(first.quarantinedParts()).containsExactly("deadly");
        }

        @Test
        void areNotClearedByResponsesThatBegin() {
            answered = true;
            long nowMillis = crashUpstreams(first, true);
            first.recordBeginning("pool", DEADLY, nowMillis);
            first.evaluate(upstreams, nowMillis);
            assertThat(first.quarantinedParts()).containsExactly("deadly");
            first.recordCompletion("pool", DEADLY, nowMillis);
            first.evaluate(upstreams, nowMillis);
            assertThat(first.quarantinedParts()).isEmpty();
        }

        @Test
        void areNotBlamedIfTheServiceAnswersNoPrompt() {
            first.evaluate(upstreams, crashUpstreams(first, false));
            assertThat(first.quarantinedParts()).isEmpty();
        }

        @Test
        void areNotBlamedIfAPeerReportsAnAnswer() {
            long nowMillis = crashUpstreams(first, true);
            second.updatePeer("first", first.localEvidence(nowMillis), nowMillis);
            second.recordCompletion("pool", DEADLY, nowMillis);
            second.evaluate(upstreams, nowMillis);
            first.updatePeer("second", second.localEvidence(nowMillis), nowMillis);
            first.evaluate(upstreams, nowMillis);
            assertThat(first.quarantinedParts()).isEmpty();
        }

        @Test
        void areNotBlamedForUpstreamsThatAPeerReceivesDataFrom() {
            long nowMillis = crashUpstreams(first, true);
            UpstreamTable known = new UpstreamTable();
            for (int i = 0; i < CRASHES; i++) {
                known.put(upstream(i), 1, 0);
                known.find("i-" + i).orElseThrow().recordReceived(nowMillis);
            }
            second.updatePeer("first", first.localEvidence(nowMillis), nowMillis);
            second.evaluate(known, nowMillis);
            first.updatePeer("second", second.localEvidence(nowMillis), nowMillis);
            first.evaluate(upstreams, nowMillis);
            assertThat(first.quarantinedParts()).isEmpty();
        }
    }

    @Nested
    class Quarantines {
        @Test
        void areAdoptedFromPeers() {
            long nowMillis = crashUpstreams(first, true);
            first.evaluate(upstreams, nowMillis);
            second.updatePeer("first", first.localEvidence(nowMillis), nowMillis);
            second.evaluate(upstreams, nowMillis);
            assertThat(second.isQuarantined(DEADLY)).isTrue();
        }

        @Test
        void lastWhileRequestsComeAndEndAfterTheLastOne() {
            long nowMillis = crashUpstreams(first, true);
            first.evaluate(upstreams, nowMillis);
            long lastRequestMillis = nowMillis + PromptQuarantine.QUARANTINE_MILLIS - 1;
            first.recordRefusal(DEADLY, lastRequestMillis);
            first.evaluate(upstreams, lastRequestMillis + PromptQuarantine.QUARANTINE_MILLIS - 1);
            assertThat(first.isQuarantined(DEADLY)).isTrue();
            assertThat(first.evaluate(upstreams, lastRequestMillis + PromptQuarantine.QUARANTINE_MILLIS))
                    .extracting(PromptQuarantine.Change::kind)
                    .containsExactly(ChangeKind.RELEASED);
        }

        @Test
        void areNotKeptAliveByGatewaysThatExchangeThem() {
            long nowMillis = crashUpstreams(first, true);
            first.evaluate(upstreams, nowMillis);
            for (long end = nowMillis + PromptQuarantine.QUARANTINE_MILLIS + 1_000; nowMillis < end; nowMillis += 100) {
                second.updatePeer("first", first.localEvidence(nowMillis), nowMillis + 50);
                second.evaluate(upstreams, nowMillis + 50);
                first.updatePeer("second", second.localEvidence(nowMillis + 50), nowMillis + 99);
                first.evaluate(upstreams, nowMillis + 99);
            }
            assertThat(first.quarantinedParts()).isEmpty();
            assertThat(second.quarantinedParts()).isEmpty();
        }
    }
}
