package org.lovagethread.node.upstream;

import java.net.ConnectException;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagethread.core.call.AttemptOutcome;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.StoredAnswer;
import org.lovagethread.node.caller.OpenCall;

/** An attempt in flight, which reports its end at most once. Instances are used on the event loop of the call. */
final class Attempt {
    private final OpenCall call;
    private final Command.StartAttempt command;
    private final Consumer<Attempt> endListener;
    private final Consumer<Event> events;
    private Runnable cancelAction = () -> {};
    private boolean ended;
    private int fromChunk;

    Attempt(OpenCall call, Command.StartAttempt command, Consumer<Event> events, Consumer<Attempt> endListener) {
        this.call = call;
        this.command = command;
        this.events = events;
        this.endListener = endListener;
    }

    OpenCall call() {
        return call;
    }

    /** Ends the attempt without reporting it, since the core has cancelled it. Does nothing if the attempt has ended. */
    void cancel() {
        if (!ended) {
            ended = true;
            endListener.accept(this);
            cancelAction.run();
        }
    }

    Command.StartAttempt command() {
        return command;
    }

    /** Starts the attempt, which becomes the only one that may add to the stream of the call. */
    void begin() {
        fromChunk = call.beginAttempt(command.attemptId());
    }

    int fromChunk() {
        return fromChunk;
    }

    void end(AttemptOutcome outcome, Optional<StoredAnswer> answer) {
        if (!ended) {
            ended = true;
            endListener.accept(this);
            events.accept(new Event.AttemptEnded(command.attemptId(), outcome, call.lastChunk(), answer));
        }
    }

    boolean isEnded() {
        return ended;
    }

    /** Ends the attempt after a connection failure. */
    void fail(Throwable failure) {
        boolean notSent = failure instanceof ConnectException;
        end(notSent ? AttemptOutcome.NOT_SENT : AttemptOutcome.BROKEN, Optional.empty());
        cancelAction.run();
    }

    void reportProgress() {
        events.accept(new Event.AttemptProgressed(command.attemptId(), call.lastChunk()));
    }

    /** Sets the action that closes the connection. It runs at once if the attempt has ended already. */
    void setCancelAction(Runnable action) {
        cancelAction = action;
        if (ended) {
            action.run();
        }
    }
}
