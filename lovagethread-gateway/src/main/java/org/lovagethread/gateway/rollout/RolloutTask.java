package org.lovagethread.gateway.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.StoreReply;
import org.lovagethread.gateway.store.StoreReply.Status;
import org.lovagethread.gateway.store.StoredObject;

/**
 * The work of the lease holder on one order, one call to the store at a time.
 *
 * <p>After a call whose outcome is unknown, both objects are read again before anything else is written.
 */
final class RolloutTask {
    /** Time after which a call without a reply is abandoned, in milliseconds. */
    private static final long CALL_TIMEOUT_MILLIS = 1_500;

    /** Delay after a failed call, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 200;

    /**
     * Time from a stored verdict to its status, in milliseconds. All gateways learn of the verdict within it, so none
     * sends to the losing version after the status was written.
     */
    private static final long PROPAGATION_MILLIS = 800;

    /** Time before the deadline by which a status is written in any case, in milliseconds. */
    private static final long STATUS_MARGIN_MILLIS = 1_500;

    /** Time within which all gateways usually learn of a verdict: two reports, the second one of a speaker. */
    private static final long NOTICE_MILLIS = 500;

    /**
     * Time from a verdict that came too late to its status, in milliseconds. At the deadline the other gateways have
     * returned to the old version, so their new requests must have moved away again before it is stopped.
     */
    private static final long LATE_STATUS_MILLIS = 5_000;

    private static final String PREFIX = "rollout-";

    private final RolloutController.Context context;
    private final Rollout order;
    private Optional<StoredObject> storedRecord = Optional.empty();
    private OptionalLong verdictMillis = OptionalLong.empty();
    private boolean recordKnown;
    private boolean mustReadOrder = true;
    private boolean finished;
    private boolean callPending;
    private long callNumber;
    private long callSentMillis;
    private long nextCallMillis = Long.MIN_VALUE;

    RolloutTask(RolloutController.Context context, Rollout order) {
        this.context = context;
        this.order = order;
    }

    /** Returns whether this task works on an order: the same target, not ordered again after the end. */
    boolean concerns(Rollout rollout) {
        boolean isOrderedAgain = finished && !isEnded();
        return order.target().equals(rollout.target()) && !isOrderedAgain;
    }

    /** Ends this task, because another one replaces it or the lease is lost. Outstanding replies are ignored. */
    void cancel() {
        callNumber++;
        callPending = false;
        finished = true;
    }

    private boolean isEnded() {
        return knownVerdict().isPresent();
    }

    /** Returns the verdict that this gateway knows, which the store may have lost with a later part of its history. */
    private Optional<RolloutStage> knownVerdict() {
        return context.table().stage(order.service()).filter(RolloutStage::isEnded);
    }

    void tick() {
        long now = context.clock().getAsLong();
        if (callPending && now - callSentMillis > CALL_TIMEOUT_MILLIS) {
            forget(now);
        }
        OptionalLong token = context.fencingToken().get();
        if (!finished && !callPending && now >= nextCallMillis && token.isPresent() && isCurrent()) {
            step(token.getAsLong(), now);
        }
    }

    /** Returns whether the table has the rollout that this task works on, and not one to another target. */
    private boolean isCurrent() {
        return context.table()
                .find(order.service())
                .filter(rollout -> rollout.target().equals(order.target()))
                .isPresent();
    }

    /** Returns whether a newer revision of the order is known than the one that was read. */
    private boolean isOutdated() {
        long known =
                context.table().find(order.service()).map(Rollout::revision).orElse(Long.MIN_VALUE);
        return context.orders()
                .find(order.service())
                .filter(stored -> stored.object().revision() >= known)
                .isEmpty();
    }

    private void step(long token, long now) {
        if (!recordKnown) {
            call(reply -> context.store().read(ObjectKind.DUTIES, recordName(), reply), this::onRecordRead);
            return;
        }
        Optional<RolloutOrders.Stored> stored = context.orders().find(order.service());
        if (mustReadOrder || stored.isEmpty() || isOutdated()) {
            call(reply -> context.store().read(ObjectKind.ROLLOUTS, order.service(), reply), this::onOrderRead);
            return;
        }
        if (!stored.get().order().target().equals(order.target())) {
            return;
        }
        Optional<RolloutRecord> known = storedRecord.flatMap(object -> RolloutRecord.decode(object.content()));
        if (known.filter(record -> record.fencingToken() > token).isPresent()) {
            return;
        }
        Optional<RolloutRecord> decision = known.filter(record ->
                record.concerns(stored.get().order(), stored.get().object().revision()));
        if (stored.get().order().end().isPresent()) {
            finished = decision.isEmpty();
            decision.ifPresent(record -> writeRecord(record.asClosed(token)));
        } else if (decision.isEmpty()) {
            takeUp(stored.get(), token, now);
        } else {
            follow(decision.get(), stored.get(), now);
            pursue(decision.get(), stored.get(), token, now);
        }
    }

    private void takeUp(RolloutOrders.Stored stored, long token, long now) {
        Rollout rollout = context.table().find(order.service()).orElse(order);
        long deadlineMillis = context.clusterTime().getAsLong() + rollout.deadlineMillis() - now;
        RolloutStage stage = knownVerdict().orElse(RolloutStage.CANARY);
        writeRecord(
                new RolloutRecord(rollout.target(), stored.object().revision(), deadlineMillis, stage, false, token));
    }

    /** Continues from a stored decision, whoever stored it. */
    private void follow(RolloutRecord decision, RolloutOrders.Stored stored, long now) {
        long remainingMillis = decision.deadlineMillis() - context.clusterTime().getAsLong();
        context.table().merge(order.service(), stored.object().revision(), now + remainingMillis);
        context.table().advance(order.service(), decision.stage(), now);
    }

    private void pursue(RolloutRecord decision, RolloutOrders.Stored stored, long token, long now) {
        if (decision.stage().isEnded()) {
            verdictMillis = verdictMillis.isPresent() ? verdictMillis : OptionalLong.of(now);
            if (now < statusMillis(decision.stage(), verdictMillis.getAsLong())) {
                return;
            }
            writeStatus(stored, Optional.of(decision.stage()), token);
            return;
        }
        if (knownVerdict().isPresent()) {
            writeRecord(decision.withStage(knownVerdict().get(), token));
            return;
        }
        if (!stored.order().isRunning()) {
            writeStatus(stored, Optional.empty(), token);
            return;
        }
        context.table()
                .nextStage(order.service(), now)
                .filter(next -> decision.stage().mayBecome(next))
                .ifPresent(next -> writeRecord(decision.withStage(next, token)));
    }

    private long statusMillis(RolloutStage verdict, long knownMillis) {
        long deadlineMillis =
                context.table().find(order.service()).orElse(order).deadlineMillis();
        if (verdict == RolloutStage.COMPLETED && knownMillis + NOTICE_MILLIS > deadlineMillis) {
            return knownMillis + LATE_STATUS_MILLIS;
        }
        return Math.min(knownMillis + PROPAGATION_MILLIS, deadlineMillis - STATUS_MARGIN_MILLIS);
    }

    private void writeRecord(RolloutRecord record) {
        JsonNode content = record.encode();
        Consumer<StoreReply<StoredObject>> handler = reply -> onRecordWritten(record, reply);
        if (storedRecord.isPresent()) {
            StoredObject expected = storedRecord.get();
            call(reply -> context.store().replace(ObjectKind.DUTIES, expected, content, reply), handler);
        } else {
            call(reply -> context.store().create(ObjectKind.DUTIES, recordName(), content, reply), handler);
        }
    }

    private void writeStatus(RolloutOrders.Stored stored, Optional<RolloutStage> end, long token) {
        JsonNode status = context.decoder().encodeRolloutStatus(order.target(), end);
        call(
                reply -> context.store().replaceStatus(ObjectKind.ROLLOUTS, stored.object(), status, reply),
                reply -> onStatusWritten(end, token, reply));
    }

    private void onRecordRead(StoreReply<StoredObject> reply) {
        if (reply.status() == Status.MISSING) {
            storedRecord = Optional.empty();
            recordKnown = true;
        } else if (reply.status() == Status.OK && reply.value().isPresent()) {
            adopt(reply.value().get());
        } else {
            delay();
        }
    }

    private void onOrderRead(StoreReply<StoredObject> reply) {
        if (reply.status() == Status.MISSING) {
            finished = context.orders().remove(order.service());
            delay();
        } else if (reply.status() == Status.OK && reply.value().isPresent()) {
            context.orders().apply(reply.value().get());
            mustReadOrder = false;
            if (isOutdated()) {
                delay();
            }
        } else {
            delay();
        }
    }

    private void onRecordWritten(RolloutRecord record, StoreReply<StoredObject> reply) {
        boolean isKnown = reply.status() == Status.OK || reply.status() == Status.CONFLICT;
        if (isKnown && reply.value().isPresent()) {
            adopt(reply.value().get());
            if (reply.status() == Status.CONFLICT) {
                delay();
            } else {
                context.log().written(order, "decision", record.stage().name(), record.fencingToken());
            }
        } else {
            forget(context.clock().getAsLong());
        }
    }

    private void onStatusWritten(Optional<RolloutStage> end, long token, StoreReply<StoredObject> reply) {
        boolean isKnown = reply.status() == Status.OK || reply.status() == Status.CONFLICT;
        if (isKnown && reply.value().isPresent()) {
            context.orders().apply(reply.value().get());
            if (reply.status() == Status.CONFLICT) {
                delay();
            } else {
                context.orders().recordStatus(order.service(), end);
                context.log()
                        .written(order, "status", end.map(RolloutStage::name).orElse("RUNNING"), token);
            }
        } else {
            forget(context.clock().getAsLong());
        }
    }

    private void adopt(StoredObject object) {
        storedRecord = Optional.of(object);
        recordKnown = true;
    }

    private void call(Consumer<Consumer<StoreReply<StoredObject>>> call, Consumer<StoreReply<StoredObject>> handler) {
        callPending = true;
        callSentMillis = context.clock().getAsLong();
        callNumber++;
        long number = callNumber;
        call.accept(reply -> {
            if (number == callNumber) {
                callPending = false;
                handler.accept(reply);
                tick();
            }
        });
    }

    /** Forgets both objects, because the outcome of a write is unknown. */
    private void forget(long now) {
        callNumber++;
        callPending = false;
        recordKnown = false;
        mustReadOrder = true;
        nextCallMillis = now + RETRY_DELAY_MILLIS;
    }

    private void delay() {
        nextCallMillis = context.clock().getAsLong() + RETRY_DELAY_MILLIS;
    }

    private String recordName() {
        return PREFIX + order.service();
    }
}
