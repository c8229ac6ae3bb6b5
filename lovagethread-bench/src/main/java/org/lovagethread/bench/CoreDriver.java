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

/** Feeds a core with a steady mix of streams, heartbeats and ticks. */
final class CoreDriver {
    private static final int PROGRESS_PER_STREAM = 20;
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
    private final Deque<Long> attempts = new ArrayDeque<>();
    private long events;
    private long nextCall = 1;
    private long now = 1_000_000;
    private long sequence;

    CoreDriver(int members, int upstreams, int customers) {
        this.members = members;
        this.customers = customers;
        List<Customer> declared = new ArrayList<>();
        for (int i = 0; i < customers; i++) {
            declared.add(new Customer("customer-" + i, 1_000_000, 1));
        }
        Service service = new Service("s", ServiceKind.MODEL, "m", "1", 790, 63, true);
        handle(new Event.ConfigurationOffered(new Configuration(1, "d", List.of(service), declared, List.of())));
        List<UpstreamInfo> listed = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            listed.add(new UpstreamInfo("u" + i, "s", "10.0.1." + i + ":80", "z" + i % 3, "r", "m@1", false));
        }
        handle(new Event.UpstreamsListed(listed));
        heartbeats();
    }

    /** Keeps a number of streams in flight while it handles a number of events. */
    void run(int inFlight, int count) {
        for (long until = events + count; events < until; ) {
            if (attempts.size() < inFlight) {
                arrive();
            } else {
                advance();
            }
            if (events % EVENTS_PER_TICK == 0) {
                now += 10;
                handle(new Event.Ticked());
            }
            if (events % EVENTS_PER_HEARTBEAT == 0) {
                heartbeats();
            }
        }
    }

    private void advance() {
        long attempt = attempts.pollFirst();
        int steps = (int) (attempt >> 40);
        long id = attempt & ((1L << 40) - 1);
        if (steps >= PROGRESS_PER_STREAM) {
            handle(new Event.AttemptEnded(id, AttemptOutcome.COMPLETE, steps, Optional.empty()));
        } else {
            handle(new Event.AttemptProgressed(id, steps + 1));
            attempts.addLast(((long) (steps + 1) << 40) | id);
        }
    }

    private void arrive() {
        long id = nextCall++;
        CallRequest request = CallRequest.builder(id, CallKind.GENERATE)
                .requestId("request-" + id)
                .customer("customer-" + id % customers)
                .service("s")
                .bodyDigest("0123456789abcdef0123456789abcdef")
                .promptTokens(500)
                .maxTokens(200)
                .deadlineMillis(now + 60_000)
                .build();
        for (Command command : handle(new Event.CallArrived(request))) {
            if (command instanceof Command.StartAttempt start) {
                attempts.addLast(start.attemptId());
            }
        }
    }

    private List<Command> handle(Event event) {
        events++;
        return core.handle(now, event);
    }

    private void heartbeats() {
        sequence++;
        for (int i = 1; i < members; i++) {
            String name = String.format("node-%03d", i);
            handle(new Event.PeerHeard(new PeerState(
                    name, 1, sequence, "10.0.2." + i + ":80", "p", "z1", false, 1, List.of(), List.of())));
        }
    }
}
