package org.lovagethread.core.scenario;

import java.util.Optional;
import org.lovagethread.core.call.AttemptOutcome;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.StoredAnswer;

/** One attempt of a node at a fake upstream. */
final class FakeAttempt {
    private static final int PREFILL_TOKENS_PER_MILLI = 10;

    private final World world;
    private final FakeNode node;
    private final Command.StartAttempt start;
    private final FakeUpstream upstream;
    private final FakeNode.Stream stream;
    private FakeUpstream.Fault fault;
    private int from;

    FakeAttempt(World world, FakeNode node, Command.StartAttempt start, FakeUpstream upstream, FakeNode.Stream stream) {
        this.world = world;
        this.node = node;
        this.start = start;
        this.upstream = upstream;
        this.stream = stream;
    }

    void begin() {
        stream.owner = start.attemptId();
        from = stream.lastChunk();
        fault = upstream.nextFault();
        if (start.kind() == CallKind.GENERATE) {
            beginStream();
        } else {
            beginPlain();
        }
    }

    void end(long delayMillis, AttemptOutcome outcome) {
        end(delayMillis, outcome, Optional.empty());
    }

    private void end(long delayMillis, AttemptOutcome outcome, Optional<StoredAnswer> answer) {
        world.after(delayMillis, () -> {
            if (node.liveAttempts.remove(start.attemptId())) {
                int last = stream == null ? 0 : stream.lastChunk();
                if (start.kind() == CallKind.READ && outcome == AttemptOutcome.COMPLETE) {
                    stream.answer = Optional.of("answer to " + stream.origin.name);
                } else if (answer.isPresent()) {
                    stream.answer = answer.map(StoredAnswer::body);
                }
                world.deliver(node, new Event.AttemptEnded(start.attemptId(), outcome, last, answer));
            }
        });
    }

    private void beginPlain() {
        if (fault == FakeUpstream.Fault.RESET_BEFORE) {
            end(1, AttemptOutcome.BROKEN);
            return;
        }
        if (fault == FakeUpstream.Fault.DECLINE) {
            end(1, AttemptOutcome.DECLINED);
            return;
        }
        if (start.kind() == CallKind.SUBMIT) {
            upstream.ledger.add(stream.origin.key);
            upstream.ledger.add(stream.origin.key + " by " + stream.origin.name);
        }
        world.after(upstream.millis, this::answerPlain);
    }

    private void answerPlain() {
        boolean broken = !upstream.alive || fault == FakeUpstream.Fault.RESET_AFTER || fault == FakeUpstream.Fault.CUT;
        if (fault == FakeUpstream.Fault.SILENT || upstream.stalled) {
            return;
        }
        if (broken) {
            end(1, AttemptOutcome.BROKEN);
        } else if (fault == FakeUpstream.Fault.CROSS) {
            end(1, AttemptOutcome.MISMATCHED);
        } else if (start.kind() == CallKind.SUBMIT) {
            String body = "booking of " + stream.origin.key + " at " + upstream.info.id();
            end(1, AttemptOutcome.COMPLETE, Optional.of(new StoredAnswer(200, "text/plain", body)));
        } else {
            end(1, AttemptOutcome.COMPLETE);
        }
    }

    private void beginStream() {
        int held = 200 + from;
        boolean imported = start.cacheSource().isPresent()
                && !upstream.refusesImport
                && world.upstreams.values().stream()
                        .anyMatch(source -> source.alive
                                && source.info
                                        .address()
                                        .equals(start.cacheSource().get()));
        if (!imported && from > 0) {
            upstream.recomputedTokens += held;
        }
        long prefillMillis = imported ? 50 : held / PREFILL_TOKENS_PER_MILLI;
        world.after(prefillMillis + upstream.millis, () -> step(from + 1));
    }

    private void step(int number) {
        if (!node.liveAttempts.contains(start.attemptId()) || stream.owner != start.attemptId()) {
            return;
        }
        if (!upstream.alive) {
            end(1, AttemptOutcome.BROKEN);
            return;
        }
        if (upstream.stalled || fault == FakeUpstream.Fault.SILENT || node.frozen) {
            world.after(upstream.millis, () -> step(number));
            return;
        }
        boolean faulty = fault != null && number == from + 3;
        if (faulty) {
            end(1, fault == FakeUpstream.Fault.CROSS ? AttemptOutcome.MISMATCHED : AttemptOutcome.BROKEN);
            return;
        }
        int tokens = stream.origin.tokens;
        world.chunkArrived(node, stream, start.attemptId(), number, stream.origin.name + ":" + number);
        if (number >= tokens) {
            end(1, AttemptOutcome.COMPLETE);
        } else {
            world.after(upstream.millis, () -> step(number + 1));
        }
    }
}
