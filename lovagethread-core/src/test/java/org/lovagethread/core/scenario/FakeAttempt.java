package org.lovagethread.core.scenario;

import java.util.Optional;
import org.lovagethread.core.call.AttemptOutcome;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.StoredAnswer;

/** Simulated attempt of a node at a {@link FakeUpstream}. */
final class FakeAttempt {
    private static final int PREFILL_TOKENS_PER_MILLISECOND = 10;

    private final Simulation simulation;
    private final FakeNode node;
    private final Command.StartAttempt command;
    private final FakeUpstream upstream;
    private final FakeNode.Stream stream;
    private FakeUpstream.Fault fault;
    private int fromChunk;

    FakeAttempt(
            Simulation simulation,
            FakeNode node,
            Command.StartAttempt command,
            FakeUpstream upstream,
            FakeNode.Stream stream) {
        this.simulation = simulation;
        this.node = node;
        this.command = command;
        this.upstream = upstream;
        this.stream = stream;
    }

    void start() {
        stream.ownerAttemptId = command.attemptId();
        fromChunk = stream.lastChunk();
        fault = upstream.nextFault();
        if (command.kind() == CallKind.GENERATE) {
            startStream();
        } else {
            startPlain();
        }
    }

    void end(long delayMillis, AttemptOutcome outcome) {
        end(delayMillis, outcome, Optional.empty());
    }

    private void end(long delayMillis, AttemptOutcome outcome, Optional<StoredAnswer> answer) {
        simulation.schedule(delayMillis, () -> {
            if (node.liveAttempts.remove(command.attemptId())) {
                int lastChunk = stream == null ? 0 : stream.lastChunk();
                if (command.kind() == CallKind.READ && outcome == AttemptOutcome.COMPLETE) {
                    stream.answer = Optional.of("answer to " + stream.originalCaller.name);
                } else if (answer.isPresent()) {
                    stream.answer = answer.map(StoredAnswer::body);
                }
                simulation.deliver(node, new Event.AttemptEnded(command.attemptId(), outcome, lastChunk, answer));
            }
        });
    }

    private void startPlain() {
        if (fault == FakeUpstream.Fault.RESET_BEFORE) {
            end(1, AttemptOutcome.BROKEN);
            return;
        }
        if (fault == FakeUpstream.Fault.DECLINE) {
            end(1, AttemptOutcome.DECLINED);
            return;
        }
        if (command.kind() == CallKind.SUBMIT) {
            upstream.executedKeys.add(stream.originalCaller.key);
            upstream.executedKeys.add(stream.originalCaller.key + " by " + stream.originalCaller.name);
        }
        simulation.schedule(upstream.latencyMillis, this::completePlain);
    }

    private void completePlain() {
        boolean broken = !upstream.alive || fault == FakeUpstream.Fault.RESET_AFTER || fault == FakeUpstream.Fault.CUT;
        if (fault == FakeUpstream.Fault.SILENT || upstream.stalled) {
            return;
        }
        if (broken) {
            end(1, AttemptOutcome.BROKEN);
        } else if (fault == FakeUpstream.Fault.CROSS) {
            end(1, AttemptOutcome.MISMATCHED);
        } else if (command.kind() == CallKind.SUBMIT) {
            String body = "booking of " + stream.originalCaller.key + " at " + upstream.info.id();
            end(1, AttemptOutcome.COMPLETE, Optional.of(new StoredAnswer(200, "text/plain", body)));
        } else {
            end(1, AttemptOutcome.COMPLETE);
        }
    }

    private void startStream() {
        int tokensToProcess = 200 + fromChunk;
        boolean imported = command.cacheSource().isPresent()
                && !upstream.rejectsCacheImport
                && simulation.upstreams.values().stream()
                        .anyMatch(source -> source.alive
                                && source.info
                                        .address()
                                        .equals(command.cacheSource().get()));
        if (!imported && fromChunk > 0) {
            upstream.recomputedTokens += tokensToProcess;
        }
        long prefillMillis = imported ? 50 : tokensToProcess / PREFILL_TOKENS_PER_MILLISECOND;
        simulation.schedule(prefillMillis + upstream.latencyMillis, () -> generateChunk(fromChunk + 1));
    }

    private void generateChunk(int number) {
        if (!node.liveAttempts.contains(command.attemptId()) || stream.ownerAttemptId != command.attemptId()) {
            return;
        }
        if (!upstream.alive) {
            end(1, AttemptOutcome.BROKEN);
            return;
        }
        if (upstream.stalled || fault == FakeUpstream.Fault.SILENT || node.frozen) {
            simulation.schedule(upstream.latencyMillis, () -> generateChunk(number));
            return;
        }
        boolean faulty = fault != null && number == fromChunk + 3;
        if (faulty) {
            end(1, fault == FakeUpstream.Fault.CROSS ? AttemptOutcome.MISMATCHED : AttemptOutcome.BROKEN);
            return;
        }
        int requestedTokens = stream.originalCaller.requestedTokens;
        simulation.appendChunk(node, stream, command.attemptId(), number, stream.originalCaller.name + ":" + number);
        if (number >= requestedTokens) {
            end(1, AttemptOutcome.COMPLETE);
        } else {
            simulation.schedule(upstream.latencyMillis, () -> generateChunk(number + 1));
        }
    }
}
