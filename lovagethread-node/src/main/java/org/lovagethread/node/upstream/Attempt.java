package org.lovagethread.node.upstream;

import java.net.ConnectException;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagethread.core.call.AttemptOutcome;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.StoredAnswer;
import org.lovagethread.node.caller.OpenCall;

/** Holds one attempt in flight and reports its end exactly once; used on the event loop of the call. */
final class Attempt {
    private final OpenCall call;
    private final Command.StartAttempt command;
    private final Consumer<Attempt> whenEnded;
    private final Consumer<Event> events;
    private Runnable canceller = () -> {};
    private boolean ended;
    private int fromChunk;

    Attempt(OpenCall call, Command.StartAttempt command, Consumer<Event> events, Consumer<Attempt> whenEnded) {
        this.call = call;
        this.command = command;
        this.events = events;
        this.whenEnded = whenEnded;
    }

    OpenCall call() {
        return call;
    }

    /** Ends the attempt without a report, since the core gave it up. */
    void cancel() {
        if (!ended) {
            ended = true;
            whenEnded.accept(this);
            canceller.run();
        }
    }

    Command.StartAttempt command() {
        return command;
    }

    /** Makes this attempt the one that may add to the stream. */
    void begin() {
        fromChunk = call.begin(command.attemptId());
    }

    int fromChunk() {
        return fromChunk;
    }

    void end(AttemptOutcome outcome, Optional<StoredAnswer> answer) {
        if (!ended) {
            ended = true;
            whenEnded.accept(this);
            events.accept(new Event.AttemptEnded(command.attemptId(), outcome, call.lastChunk(), answer));
        }
    }

    boolean ended() {
        return ended;
    }

    /** Ends the attempt after a failure of the connection. */
    void fail(Throwable failure) {
        boolean notSent = failure instanceof ConnectException;
        end(notSent ? AttemptOutcome.NOT_SENT : AttemptOutcome.BROKEN, Optional.empty());
        canceller.run();
    }

    void progressed() {
        events.accept(new Event.AttemptProgressed(command.attemptId(), call.lastChunk()));
    }

    /** Sets what closes the connection of the attempt. */
    void whenCancelled(Runnable action) {
        canceller = action;
        if (ended) {
            action.run();
        }
    }
}
