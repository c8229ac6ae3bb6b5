package org.lovagethread.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.lovagethread.core.Core;
import org.lovagethread.core.CoreSettings;
import org.lovagethread.core.call.AttemptOutcome;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.call.CallRequest;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.config.Configuration;
import org.lovagethread.core.config.Customer;
import org.lovagethread.core.config.Service;
import org.lovagethread.core.config.ServiceKind;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.member.PeerState;
import org.lovagethread.core.upstream.UpstreamInfo;

/** Drives a core with a constant mix of streams, heartbeats and ticks. */
final class CoreDriver {
    private static final int CHUNKS_PER_STREAM = 20;
    private static final int EVENTS_PER_TICK = 100;
    private static final int EVENTS_PER_HEARTBEAT = 500;

    private final Core core = new Core(CoreSettings.builder("node-000")
            .address("10.0.0.1:80")
            .peerAddress("10.0.0.1:90")
            .region("r")
            .zone("z1")
            .seed(1)
            .build());
    private final int customers;
    private final int members;
    /** Unfinished attempts. An element holds the number of chunks above bit 40 and the attempt identifier below. */
    private final Deque<Long> packedAttempts = new ArrayDeque<>();

    private long events;
    private long nextCallId = 1;
    private long nowMillis = 1_000_000;
    private long heartbeatSequence;

    CoreDriver(int members, int upstreams, int customers) {
        this.members = members;
        this.customers = customers;
        List<Customer> customerList = new ArrayList<>();
        for (int i = 0; i < customers; i++) {
            customerList.add(new Customer("customer-" + i, 1_000_000, 1));
        }
        Service service = new Service("s", ServiceKind.MODEL, "m", "1", 790, 63, true);
        handle(new Event.ConfigurationOffered(new Configuration(1, "d", List.of(service), customerList, List.of())));
        List<UpstreamInfo> upstreamList = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            upstreamList.add(new UpstreamInfo("u" + i, "s", "10.0.1." + i + ":80", "z" + i % 3, "r", "m@1", false));
        }
        handle(new Event.UpstreamsListed(upstreamList));
        deliverHeartbeats();
    }

    /**
     * Lets the core handle events while a constant number of streams is in flight.
     *
     * @param streamsInFlight the number of concurrent streams
     * @param eventCount the number of events to handle
     */
    void run(int streamsInFlight, int eventCount) {
        for (long endEvents = events + eventCount; events < endEvents; ) {
            if (packedAttempts.size() < streamsInFlight) {
                submitCall();
            } else {
                advanceOldestAttempt();
            }
            if (events % EVENTS_PER_TICK == 0) {
                nowMillis += 10;
                handle(new Event.Ticked());
            }
            if (events % EVENTS_PER_HEARTBEAT == 0) {
                deliverHeartbeats();
            }
        }
    }

    private void advanceOldestAttempt() {
        long packedAttempt = packedAttempts.pollFirst();
        int chunks = (int) (packedAttempt >> 40);
        long attemptId = packedAttempt & ((1L << 40) - 1);
        if (chunks >= CHUNKS_PER_STREAM) {
            handle(new Event.AttemptEnded(attemptId, AttemptOutcome.COMPLETE, chunks, Optional.empty()));
        } else {
            handle(new Event.AttemptProgressed(attemptId, chunks + 1));
            packedAttempts.addLast(((long) (chunks + 1) << 40) | attemptId);
        }
    }

    private void submitCall() {
        long callId = nextCallId++;
        CallRequest request = CallRequest.builder(callId, CallKind.GENERATE)
                .requestId("request-" + callId)
                .customer("customer-" + callId % customers)
                .service("s")
                .bodyDigest("0123456789abcdef0123456789abcdef")
                .promptTokens(500)
                .maxTokens(200)
                .deadlineMillis(nowMillis + 60_000)
                .build();
        for (Command command : handle(new Event.CallArrived(request))) {
            if (command instanceof Command.StartAttempt start) {
                packedAttempts.addLast(start.attemptId());
            }
        }
    }

    private List<Command> handle(Event event) {
        events++;
        return core.handle(nowMillis, event);
    }

    private void deliverHeartbeats() {
        heartbeatSequence++;
        for (int i = 1; i < members; i++) {
            String nodeName = String.format("node-%03d", i);
            handle(new Event.PeerHeard(new PeerState(
                    nodeName, 1, heartbeatSequence, "10.0.2." + i + ":80", "p", "z1", false, 1, List.of(), List.of())));
        }
    }
}
