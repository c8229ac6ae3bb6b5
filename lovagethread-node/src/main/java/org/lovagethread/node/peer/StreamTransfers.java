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
import org.lovagethread.node.duty.NodeClock;
import org.lovagethread.wire.PeerMessage;

/** Moves the bytes of streams between this node and its peers. */
public final class StreamTransfers {
    private static final long REPLY_MILLIS = 1_000;

    private final Map<Long, Consumer<PeerMessage>> adoptions = new ConcurrentHashMap<>();
    private final CallRegistry calls;
    private final NodeClock clock;
    private final Consumer<Event> events;
    private final Map<Long, Long> replyDeadlines = new ConcurrentHashMap<>();
    private final Map<Long, Long> peerNumbers = new ConcurrentHashMap<>();
    private EventLoopGroup loops;

    /**
     * Creates an object without transfers.
     *
     * @param calls the open calls
     * @param clock tells the time
     * @param events takes the events about transfers
     */
    public StreamTransfers(CallRegistry calls, NodeClock clock, Consumer<Event> events) {
        this.calls = calls;
        this.clock = clock;
        this.events = events;
    }

    /**
     * Sets the event loops for adopted calls.
     *
     * @param group the event loops of the HTTP server
     */
    public void useLoops(EventLoopGroup group) {
        loops = group;
    }

    /** Takes in a stream that a peer offers. */
    void adopt(PeerMessage.HandOver offer, Consumer<PeerMessage> reply) {
        CallRequest request = offer.request().withCallId(calls.nextId());
        CallContent content = new CallContent("POST", "", offer.body(), "application/json");
        OpenCall call =
                new OpenCall(request, content, loops.next(), callId -> events.accept(new Event.CallerLeft(callId)));
        call.adopt(offer.lines());
        if (!calls.add(call)) {
            reply.accept(new PeerMessage.HandOverReply(offer.transfer(), false));
            return;
        }
        peerNumbers.put(request.callId(), offer.transfer());
        adoptions.put(request.callId(), reply);
        events.accept(new Event.CallAdopted(request, offer.lines().size()));
    }

    /** Tells the peer whether this node carries its stream on. */
    void answer(Command.AnswerAdoption answer) {
        Consumer<PeerMessage> reply = adoptions.remove(answer.callId());
        Long transfer = peerNumbers.remove(answer.callId());
        if (!answer.accepted()) {
            calls.remove(answer.callId());
        }
        if (reply != null && transfer != null) {
            reply.accept(new PeerMessage.HandOverReply(transfer, answer.accepted()));
        }
    }

    /** Gives up transfers whose peers have not answered. */
    void expire() {
        long now = clock.millis();
        replyDeadlines.forEach((callId, deadline) -> {
            if (now >= deadline) {
                replied(callId, false);
            }
        });
    }

    /** Offers a stream to a peer. */
    void offer(Command.HandOverCall command, BiPredicate<String, PeerMessage> transport) {
        replyDeadlines.put(command.callId(), clock.millis() + REPLY_MILLIS);
        calls.find(command.callId())
                .ifPresent(call -> call.run(() -> {
                    List<String> lines = call.seal();
                    PeerMessage offer = new PeerMessage.HandOver(
                            command.callId(), call.request(), call.content().body(), lines);
                    if (!transport.test(command.peerAddress(), offer)) {
                        replied(command.callId(), false);
                    }
                }));
    }

    /** Handles the answer of a peer; a second one is passed over. */
    void replied(long callId, boolean accepted) {
        if (replyDeadlines.remove(callId) != null) {
            events.accept(new Event.HandOverReplied(callId, accepted));
        }
    }
}
