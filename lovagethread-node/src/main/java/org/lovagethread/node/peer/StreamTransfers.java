package org.lovagethread.node.peer;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import org.lovagethread.core.call.CallRequest;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.node.caller.CallContent;
import org.lovagethread.node.caller.CallRegistry;
import org.lovagethread.node.caller.OpenCall;
import org.lovagethread.node.worker.MonotonicClock;
import org.lovagethread.wire.PeerMessage;

/** Hands streams over to peers and adopts the streams that peers hand over. */
public final class StreamTransfers {
    private static final long REPLY_TIMEOUT_MILLIS = 1_000;

    private final Map<Long, Consumer<PeerMessage>> pendingReplies = new ConcurrentHashMap<>();
    private final CallRegistry calls;
    private final MonotonicClock clock;
    private final Consumer<Event> events;
    private final Map<Long, Long> replyDeadlines = new ConcurrentHashMap<>();
    private final Map<Long, Long> transferIds = new ConcurrentHashMap<>();
    private EventLoopGroup eventLoops;

    /**
     * Creates an instance without transfers.
     *
     * @param calls the open calls
     * @param clock provides the current time
     * @param events receives the events about transfers
     */
    public StreamTransfers(CallRegistry calls, MonotonicClock clock, Consumer<Event> events) {
        this.calls = calls;
        this.clock = clock;
        this.events = events;
    }

    /**
     * Sets the event loops on which adopted calls run.
     *
     * @param group the event loops of the HTTP server
     */
    public void setEventLoops(EventLoopGroup group) {
        eventLoops = group;
    }

    /** Adopts a stream that a peer offers, or declines it if the maximum number of calls is open. */
    void adopt(PeerMessage.HandOver offer, Consumer<PeerMessage> reply) {
        CallRequest request = offer.request().withCallId(calls.nextId());
        CallContent content = new CallContent("POST", "", offer.body(), "application/json");
        OpenCall call = new OpenCall(
                request, content, eventLoops.next(), callId -> events.accept(new Event.CallerLeft(callId)));
        call.addReceivedLines(offer.lines());
        if (!calls.add(call)) {
            reply.accept(new PeerMessage.HandOverReply(offer.transfer(), false));
            return;
        }
        transferIds.put(request.callId(), offer.transfer());
        pendingReplies.put(request.callId(), reply);
        events.accept(new Event.CallAdopted(request, offer.lines().size()));
    }

    /** Replies to the peer whether this node continues its stream. */
    void replyToOffer(Command.AnswerAdoption answer) {
        Consumer<PeerMessage> reply = pendingReplies.remove(answer.callId());
        Long transfer = transferIds.remove(answer.callId());
        if (!answer.accepted()) {
            calls.remove(answer.callId());
        }
        if (reply != null && transfer != null) {
            reply.accept(new PeerMessage.HandOverReply(transfer, answer.accepted()));
        }
    }

    /** Treats transfers as declined whose peers did not reply within the time-out. */
    void failExpired() {
        long nowMillis = clock.millis();
        replyDeadlines.forEach((callId, deadline) -> {
            if (nowMillis >= deadline) {
                onReply(callId, false);
            }
        });
    }

    /** Offers a stream to a peer for hand-over. */
    void offer(Command.HandOverCall command, BiPredicate<String, PeerMessage> transport) {
        replyDeadlines.put(command.callId(), clock.millis() + REPLY_TIMEOUT_MILLIS);
        calls.find(command.callId())
                .ifPresent(call -> call.execute(() -> {
                    List<String> lines = call.seal();
                    PeerMessage offer = new PeerMessage.HandOver(
                            command.callId(), call.request(), call.content().body(), lines);
                    if (!transport.test(command.peerAddress(), offer)) {
                        onReply(command.callId(), false);
                    }
                }));
    }

    /** Handles the reply of a peer. Any further reply for the same call is ignored. */
    void onReply(long callId, boolean accepted) {
        if (replyDeadlines.remove(callId) != null) {
            events.accept(new Event.HandOverReplied(callId, accepted));
        }
    }
}
