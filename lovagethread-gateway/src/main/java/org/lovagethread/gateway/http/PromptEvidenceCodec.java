package org.lovagethread.gateway.http;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import java.util.HashSet;
import java.util.Set;
import org.lovagethread.gateway.policy.PromptEvidence;
import org.lovagethread.gateway.policy.PromptEvidence.CrashTime;
import org.lovagethread.gateway.policy.PromptEvidence.Quarantine;
import org.lovagethread.gateway.policy.PromptQuarantine;

/**
 * Encodes and decodes evidence against prompt parts in messages between gateways.
 *
 * <p>The evidence is one field of a message, whose number the message reserves for it. Times are sent as ages and
 * remaining lifetimes, because each gateway has its own clock.
 */
final class PromptEvidenceCodec {
    /** Number of the field in a {@code GatewayState}. */
    static final int GATEWAY_FIELD = 23;

    /** Number of the field in a {@code CellState}. */
    static final int CELL_FIELD = 18;

    private static final int CRASHES = 1;
    private static final int SUSPECTS = 2;
    private static final int FIRST_EVENTS = 3;
    private static final int QUARANTINES = 4;
    private static final int REFUTED_CRASHES = 5;

    private static final int KEY = 1;
    private static final int AGE_MILLIS = 2;
    private static final int SERVICE = 3;
    private static final int CRASH_IDS = 4;
    private static final int REMAINING_MILLIS = 5;
    private static final int UNANSWERED_PARTS = 6;

    private PromptEvidenceCodec() {}

    /**
     * Encodes evidence.
     *
     * @param evidence the evidence
     * @param field the number of the field
     * @param nowMillis the current time in milliseconds
     * @return the field
     */
    static UnknownFieldSet encode(PromptEvidence evidence, int field, long nowMillis) {
        UnknownFieldSet.Builder message = UnknownFieldSet.newBuilder();
        evidence.crashes()
                .forEach((id, crash) -> add(
                        message,
                        CRASHES,
                        UnknownFieldSet.newBuilder()
                                .mergeField(KEY, fixed32(id))
                                .mergeField(AGE_MILLIS, varint(nowMillis - crash.atMillis()))
                                .mergeField(SERVICE, fixed32(crash.serviceHash()))
                                .mergeField(UNANSWERED_PARTS, varint(crash.unansweredParts()))));
        evidence.suspects().forEach((part, ids) -> {
            UnknownFieldSet.Field.Builder crashIds = UnknownFieldSet.Field.newBuilder();
            ids.forEach(crashIds::addFixed32);
            add(message, SUSPECTS, part(part).mergeField(CRASH_IDS, crashIds.build()));
        });
        evidence.firstEvents()
                .forEach((part, millis) ->
                        add(message, FIRST_EVENTS, part(part).mergeField(AGE_MILLIS, varint(nowMillis - millis))));
        evidence.quarantines()
                .forEach((part, quarantine) -> add(
                        message,
                        QUARANTINES,
                        part(part)
                                .mergeField(AGE_MILLIS, varint(nowMillis - quarantine.sinceMillis()))
                                .mergeField(REMAINING_MILLIS, varint(quarantine.deadlineMillis() - nowMillis))));
        UnknownFieldSet.Field.Builder refuted = UnknownFieldSet.Field.newBuilder();
        evidence.refutedCrashes().forEach(refuted::addFixed32);
        message.mergeField(REFUTED_CRASHES, refuted.build());
        return UnknownFieldSet.newBuilder()
                .mergeField(field, bytes(message.build().toByteString()))
                .build();
    }

    /**
     * Decodes evidence.
     *
     * @param fields the fields of a message that have no accessors
     * @param field the number of the field
     * @param nowMillis the current time in milliseconds
     * @return the evidence; none if the field is missing or cannot be decoded
     */
    static PromptEvidence decode(UnknownFieldSet fields, int field, long nowMillis) {
        PromptEvidence evidence = PromptEvidence.empty();
        try {
            for (ByteString bytes : fields.getField(field).getLengthDelimitedList()) {
                decode(UnknownFieldSet.parseFrom(bytes), evidence, nowMillis);
            }
        } catch (InvalidProtocolBufferException | IndexOutOfBoundsException e) {
            return PromptEvidence.NONE;
        }
        return evidence;
    }

    private static void decode(UnknownFieldSet message, PromptEvidence evidence, long nowMillis)
            throws InvalidProtocolBufferException {
        for (ByteString bytes : message.getField(CRASHES).getLengthDelimitedList()) {
            UnknownFieldSet crash = UnknownFieldSet.parseFrom(bytes);
            evidence.crashes()
                    .put(
                            crash.getField(KEY).getFixed32List().get(0),
                            new CrashTime(
                                    nowMillis - first(crash, AGE_MILLIS),
                                    crash.getField(SERVICE).getFixed32List().get(0),
                                    (int) first(crash, UNANSWERED_PARTS)));
        }
        evidence.refutedCrashes().addAll(message.getField(REFUTED_CRASHES).getFixed32List());
        for (ByteString bytes : message.getField(SUSPECTS).getLengthDelimitedList()) {
            UnknownFieldSet suspect = UnknownFieldSet.parseFrom(bytes);
            Set<Integer> ids = new HashSet<>(suspect.getField(CRASH_IDS).getFixed32List());
            evidence.suspects().put(partOf(suspect), ids);
        }
        for (ByteString bytes : message.getField(FIRST_EVENTS).getLengthDelimitedList()) {
            UnknownFieldSet firstEvent = UnknownFieldSet.parseFrom(bytes);
            evidence.firstEvents().put(partOf(firstEvent), nowMillis - first(firstEvent, AGE_MILLIS));
        }
        for (ByteString bytes : message.getField(QUARANTINES).getLengthDelimitedList()) {
            UnknownFieldSet quarantine = UnknownFieldSet.parseFrom(bytes);
            evidence.quarantines()
                    .put(
                            partOf(quarantine),
                            new Quarantine(
                                    nowMillis - first(quarantine, AGE_MILLIS),
                                    nowMillis
                                            + Math.min(
                                                    PromptQuarantine.QUARANTINE_MILLIS,
                                                    first(quarantine, REMAINING_MILLIS))));
        }
    }

    private static void add(UnknownFieldSet.Builder message, int field, UnknownFieldSet.Builder entry) {
        message.mergeField(field, bytes(entry.build().toByteString()));
    }

    private static UnknownFieldSet.Builder part(String part) {
        return UnknownFieldSet.newBuilder().mergeField(KEY, bytes(ByteString.copyFromUtf8(part)));
    }

    private static String partOf(UnknownFieldSet entry) {
        return entry.getField(KEY).getLengthDelimitedList().get(0).toStringUtf8();
    }

    private static long first(UnknownFieldSet entry, int field) {
        return entry.getField(field).getVarintList().get(0);
    }

    private static UnknownFieldSet.Field bytes(ByteString value) {
        return UnknownFieldSet.Field.newBuilder().addLengthDelimited(value).build();
    }

    private static UnknownFieldSet.Field varint(long value) {
        return UnknownFieldSet.Field.newBuilder().addVarint(Math.max(0, value)).build();
    }

    private static UnknownFieldSet.Field fixed32(int value) {
        return UnknownFieldSet.Field.newBuilder().addFixed32(value).build();
    }
}
