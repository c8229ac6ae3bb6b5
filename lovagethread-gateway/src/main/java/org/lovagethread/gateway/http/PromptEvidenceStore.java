package org.lovagethread.gateway.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.policy.PromptEvidence;
import org.lovagethread.gateway.policy.PromptEvidence.Quarantine;
import org.lovagethread.gateway.policy.PromptQuarantine;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.ObjectStore;
import org.lovagethread.gateway.store.StoreReply;
import org.lovagethread.gateway.store.StoreReply.Status;
import org.lovagethread.gateway.store.StoredObject;
import org.lovagethread.wire.generated.CrashEvidence;

/**
 * Keeps the evidence against prompt parts in the store, so that it outlives all gateways.
 *
 * <p>Each gateway reads it once after its start. The holder of the lease writes it when the evidence against a
 * suspected or quarantined part has changed, and before a stored quarantine runs out.
 */
final class PromptEvidenceStore {
    /** Name under which the stored evidence takes part in decisions, beside that of the peers. */
    static final String SOURCE = "store#";

    /** Minimum time between two calls, in milliseconds. */
    private static final long CALL_INTERVAL_MILLIS = 1_000;

    /** Remaining lifetime of a stored quarantine at which a longer one is stored, in milliseconds. */
    private static final long RENEWAL_MILLIS = PromptQuarantine.QUARANTINE_MILLIS / 2;

    private static final String NAME = "prompt-evidence";
    private static final String WRITTEN_MILLIS = "written_ms";
    private static final String EVIDENCE = "evidence";

    private final ObjectStore store;
    private final PromptQuarantine quarantine;
    private final LongSupplier monotonicClock;
    private final LongSupplier clusterClock;
    private final Consumer<Boolean> storeCallListener;
    private final EventLog log;
    private Optional<StoredObject> object = Optional.empty();
    private PromptEvidence stored = PromptEvidence.NONE;
    private boolean loaded;
    private boolean mustReadAgain;
    private boolean callPending;
    private long nextCallMillis = Long.MIN_VALUE;

    /**
     * Creates a keeper, which makes no call before {@link #tick}.
     *
     * @param store the store
     * @param quarantine provides the evidence, and receives the stored one
     * @param monotonicClock the clock of the evidence, in milliseconds
     * @param clusterClock the time since the epoch in milliseconds, by which the age of stored evidence is measured
     * @param storeCallListener receives, for each call, whether the store processed it
     * @param log the log
     */
    PromptEvidenceStore(
            ObjectStore store,
            PromptQuarantine quarantine,
            LongSupplier monotonicClock,
            LongSupplier clusterClock,
            Consumer<Boolean> storeCallListener,
            EventLog log) {
        this.store = store;
        this.quarantine = quarantine;
        this.monotonicClock = monotonicClock;
        this.clusterClock = clusterClock;
        this.storeCallListener = storeCallListener;
        this.log = log;
    }

    /**
     * Reads again what is stored, because the store has come back from an older copy. What is known here is kept, and
     * written again by the holder of the lease.
     */
    void onRestore() {
        mustReadAgain = true;
    }

    /**
     * Makes the next call if one is due.
     *
     * @param mayWrite whether this gateway holds the lease
     */
    void tick(boolean mayWrite) {
        long now = monotonicClock.getAsLong();
        if (callPending || now < nextCallMillis) {
            return;
        }
        if (!loaded || mustReadAgain) {
            beginCall(now);
            store.read(ObjectKind.DUTIES, NAME, this::onRead);
        } else if (mayWrite) {
            PromptEvidence evidence = quarantine.durableEvidence(now);
            if (isOutdated(evidence, now)) {
                beginCall(now);
                write(evidence, now);
            }
        }
    }

    private void beginCall(long nowMillis) {
        callPending = true;
        nextCallMillis = nowMillis + CALL_INTERVAL_MILLIS;
    }

    /**
     * Returns whether the evidence concerns other parts or crashes than the stored one, or a quarantine that ends
     * soon.
     */
    private boolean isOutdated(PromptEvidence evidence, long nowMillis) {
        return !unexpiredSuspects(evidence, nowMillis).equals(unexpiredSuspects(stored, nowMillis))
                || !evidence.quarantines().keySet().equals(stored.quarantines().keySet())
                || evidence.quarantines().entrySet().stream().anyMatch(entry -> {
                    long storedDeadline =
                            stored.quarantines().get(entry.getKey()).deadlineMillis();
                    return storedDeadline - nowMillis < RENEWAL_MILLIS
                            && entry.getValue().deadlineMillis() > storedDeadline;
                });
    }

    private static Map<String, Set<Integer>> unexpiredSuspects(PromptEvidence evidence, long nowMillis) {
        Set<Integer> crashes = evidence.unexpired(nowMillis).crashes().keySet();
        Map<String, Set<Integer>> suspects = new HashMap<>();
        evidence.suspects()
                .forEach((part, ids) -> ids.stream().filter(crashes::contains).forEach(id -> suspects.computeIfAbsent(
                                part, key -> new HashSet<>())
                        .add(id)));
        return suspects;
    }

    private void onRead(StoreReply<StoredObject> reply) {
        callPending = false;
        storeCallListener.accept(reply.isProcessed());
        if (reply.status() != Status.MISSING
                && (reply.status() != Status.OK || reply.value().isEmpty())) {
            return;
        }
        boolean isFirst = !loaded;
        loaded = true;
        mustReadAgain = false;
        object = reply.value();
        stored = PromptEvidence.NONE;
        if (isFirst) {
            reply.value().ifPresent(this::adopt);
        } else {
            reply.value().ifPresent(found -> read(found).ifPresent(evidence -> stored = evidence));
        }
    }

    private void write(PromptEvidence evidence, long nowMillis) {
        ObjectNode content = encode(evidence, nowMillis);
        if (object.isPresent()) {
            store.replace(ObjectKind.DUTIES, object.get(), content, reply -> onWritten(evidence, reply));
        } else {
            store.create(ObjectKind.DUTIES, NAME, content, reply -> onWritten(evidence, reply));
        }
    }

    private void onWritten(PromptEvidence evidence, StoreReply<StoredObject> reply) {
        callPending = false;
        storeCallListener.accept(reply.isProcessed());
        log.add(log.line("prompt-evidence-stored")
                .put("quarantined", String.join(" ", evidence.quarantines().keySet()))
                .put("suspected", String.join(" ", evidence.suspects().keySet()))
                .put("outcome", reply.status().name()));
        if (reply.status() == Status.OK) {
            stored = evidence;
            object = reply.value();
        } else if (reply.status() == Status.CONFLICT && reply.value().isPresent()) {
            adopt(reply.value().get());
        } else if (reply.status() == Status.MISSING || reply.status() == Status.CONFLICT) {
            object = Optional.empty();
            loaded = false;
        }
    }

    /** Takes over what another process has stored. What cannot be read is replaced with the next evidence. */
    private void adopt(StoredObject found) {
        object = Optional.of(found);
        Optional<PromptEvidence> evidence = read(found);
        if (evidence.isEmpty()) {
            return;
        }
        stored = evidence.get();
        quarantine.updatePeer(SOURCE, stored, monotonicClock.getAsLong());
        log.add(log.line("prompt-evidence-loaded")
                .put("quarantined", String.join(" ", stored.quarantines().keySet()))
                .put("suspected", String.join(" ", stored.suspects().keySet())));
    }

    private Optional<PromptEvidence> read(StoredObject found) {
        try {
            return Optional.of(decode(found.content(), monotonicClock.getAsLong()));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            log.add(log.line("prompt-evidence-unreadable").put("reason", e.toString()));
            return Optional.empty();
        }
    }

    private ObjectNode encode(PromptEvidence evidence, long nowMillis) {
        byte[] bytes = PromptEvidenceCodec.encode(evidence, nowMillis).toByteArray();
        ObjectNode content = JsonNodeFactory.instance.objectNode();
        content.put(WRITTEN_MILLIS, clusterClock.getAsLong());
        content.put(EVIDENCE, Base64.getEncoder().encodeToString(bytes));
        return content;
    }

    /**
     * Decodes stored evidence. Its quarantines begin anew, since nobody could prolong them while no gateway ran; a
     * gateway that runs stores their end.
     */
    private PromptEvidence decode(JsonNode content, long nowMillis) throws InvalidProtocolBufferException {
        long ageMillis = Math.max(
                0, clusterClock.getAsLong() - content.path(WRITTEN_MILLIS).asLong());
        byte[] bytes = Base64.getDecoder().decode(content.path(EVIDENCE).asText());
        PromptEvidence evidence = PromptEvidenceCodec.decode(CrashEvidence.parseFrom(bytes), nowMillis - ageMillis);
        Map<String, Quarantine> renewed = new HashMap<>();
        evidence.quarantines()
                .forEach((part, quarantined) -> renewed.put(
                        part,
                        new Quarantine(quarantined.sinceMillis(), nowMillis + PromptQuarantine.QUARANTINE_MILLIS)));
        return new PromptEvidence(
                evidence.crashes(),
                evidence.suspects(),
                evidence.begun(),
                evidence.responses(),
                renewed,
                evidence.refutedCrashes());
    }
}
