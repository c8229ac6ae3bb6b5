package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.policy.LatestResponses;
import org.lovagethread.gateway.policy.PromptEvidence;
import org.lovagethread.gateway.policy.PromptEvidence.CrashTime;
import org.lovagethread.gateway.policy.PromptEvidence.Quarantine;
import org.lovagethread.wire.generated.GatewayState;

class PromptEvidenceCodecTest {
    /** Difference between the clocks of sender and receiver, in milliseconds. */
    private static final long CLOCK_OFFSET_MILLIS = 700_000;

    private static PromptEvidence evidence(long offsetMillis) {
        return new PromptEvidence(
                Map.of(-7, new CrashTime(offsetMillis + 1_000, 99, 5, 3, 60)),
                Map.of("part", Set.of(-7, 12)),
                Map.of("part", Set.of(12)),
                Map.of(
                        "sound",
                        new LatestResponses(offsetMillis + 1_200, offsetMillis + 1_100),
                        "begun",
                        new LatestResponses(offsetMillis + 1_200, LatestResponses.NEVER)),
                Map.of("deadly", new Quarantine(offsetMillis + 900, offsetMillis + 9_000)),
                Set.of(5, -6));
    }

    @Test
    void transfersEvidenceBetweenClocks() throws InvalidProtocolBufferException {
        GatewayState sent = GatewayState.newBuilder()
                .setNode("g")
                .setCrashEvidence(PromptEvidenceCodec.encode(evidence(0), 2_000))
                .build();
        GatewayState received = GatewayState.parseFrom(sent.toByteArray());
        assertThat(PromptEvidenceCodec.decode(received.getCrashEvidence(), CLOCK_OFFSET_MILLIS + 2_000))
                .isEqualTo(evidence(CLOCK_OFFSET_MILLIS));
    }

    @Test
    void readsNoEvidenceFromAMessageOfAnotherVersion() {
        assertThat(PromptEvidenceCodec.decode(GatewayState.getDefaultInstance().getCrashEvidence(), 0))
                .isEqualTo(PromptEvidence.NONE);
    }
}
