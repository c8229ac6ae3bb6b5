package org.lovagethread.gateway.http;

import java.util.HashSet;
import java.util.Set;
import org.lovagethread.gateway.policy.LatestResponses;
import org.lovagethread.gateway.policy.PromptEvidence;
import org.lovagethread.gateway.policy.PromptEvidence.CrashTime;
import org.lovagethread.gateway.policy.PromptEvidence.Quarantine;
import org.lovagethread.gateway.policy.PromptQuarantine;
import org.lovagethread.wire.generated.AnsweredPart;
import org.lovagethread.wire.generated.CrashEvidence;
import org.lovagethread.wire.generated.QuarantinedPart;
import org.lovagethread.wire.generated.SuspectedPart;
import org.lovagethread.wire.generated.UpstreamCrash;

/**
 * Encodes and decodes evidence against prompt parts in messages between gateways.
 *
 * <p>Times are sent as ages and remaining lifetimes, because each gateway has its own clock.
 */
final class PromptEvidenceCodec {
    private PromptEvidenceCodec() {}

    /**
     * Encodes evidence.
     *
     * @param evidence the evidence
     * @param nowMillis the current time in milliseconds
     * @return the message
     */
    static CrashEvidence encode(PromptEvidence evidence, long nowMillis) {
        CrashEvidence.Builder message = CrashEvidence.newBuilder().addAllRefutedCrashes(evidence.refutedCrashes());
        evidence.crashes()
                .forEach((id, crash) -> message.addCrashes(UpstreamCrash.newBuilder()
                        .setId(id)
                        .setAgeMillis(nowMillis - crash.atMillis())
                        .setServiceHash(crash.serviceHash())
                        .setInterruptedParts(crash.interruptedParts())
                        .setUnansweredParts(crash.unansweredParts())
                        .setLongestWaitMillis(crash.longestWaitMillis())));
        evidence.suspects()
                .forEach((part, crashes) -> message.addSuspects(SuspectedPart.newBuilder()
                        .setPart(part)
                        .addAllCrashes(crashes)
                        .addAllBegunCrashes(evidence.begun().getOrDefault(part, Set.of()))));
        evidence.responses().forEach((part, latest) -> message.addAnsweredParts(encode(part, latest, nowMillis)));
        evidence.quarantines()
                .forEach((part, quarantine) -> message.addQuarantinedParts(QuarantinedPart.newBuilder()
                        .setPart(part)
                        .setAgeMillis(nowMillis - quarantine.sinceMillis())
                        .setRemainingMillis(quarantine.deadlineMillis() - nowMillis)));
        return message.build();
    }

    private static AnsweredPart.Builder encode(String part, LatestResponses latest, long nowMillis) {
        AnsweredPart.Builder answered =
                AnsweredPart.newBuilder().setPart(part).setAgeMillis(nowMillis - latest.begunMillis());
        if (latest.completedMillis() != LatestResponses.NEVER) {
            answered.setCompletedAgeMillis(nowMillis - latest.completedMillis());
        }
        return answered;
    }

    private static LatestResponses decode(AnsweredPart answered, long nowMillis) {
        return new LatestResponses(
                nowMillis - Math.max(0, answered.getAgeMillis()),
                answered.hasCompletedAgeMillis()
                        ? nowMillis - Math.max(0, answered.getCompletedAgeMillis())
                        : LatestResponses.NEVER);
    }

    /**
     * Decodes evidence.
     *
     * @param message the message; empty if the peer runs a version that does not send evidence
     * @param nowMillis the current time in milliseconds
     * @return the evidence
     */
    static PromptEvidence decode(CrashEvidence message, long nowMillis) {
        PromptEvidence evidence = PromptEvidence.empty();
        for (UpstreamCrash crash : message.getCrashesList()) {
            long atMillis = nowMillis - Math.max(0, crash.getAgeMillis());
            evidence.crashes()
                    .put(
                            crash.getId(),
                            new CrashTime(
                                    atMillis,
                                    crash.getServiceHash(),
                                    crash.getInterruptedParts(),
                                    crash.getUnansweredParts(),
                                    Math.max(0, crash.getLongestWaitMillis())));
        }
        for (SuspectedPart suspect : message.getSuspectsList()) {
            evidence.suspects().put(suspect.getPart(), new HashSet<>(suspect.getCrashesList()));
            if (suspect.getBegunCrashesCount() > 0) {
                evidence.begun().put(suspect.getPart(), new HashSet<>(suspect.getBegunCrashesList()));
            }
        }
        for (AnsweredPart answered : message.getAnsweredPartsList()) {
            evidence.responses().put(answered.getPart(), decode(answered, nowMillis));
        }
        for (QuarantinedPart quarantined : message.getQuarantinedPartsList()) {
            long remainingMillis = Math.min(PromptQuarantine.QUARANTINE_MILLIS, quarantined.getRemainingMillis());
            long sinceMillis = nowMillis - Math.max(0, quarantined.getAgeMillis());
            evidence.quarantines().put(quarantined.getPart(), new Quarantine(sinceMillis, nowMillis + remainingMillis));
        }
        evidence.refutedCrashes().addAll(message.getRefutedCrashesList());
        return evidence;
    }
}
