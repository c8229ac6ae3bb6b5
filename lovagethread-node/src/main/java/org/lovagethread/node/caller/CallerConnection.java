package org.lovagethread.node.caller;

import io.netty.channel.EventLoop;
import java.util.Objects;
import org.lovagethread.core.error.ErrorKind;
import ratpack.exec.Downstream;

/** Joins one HTTP exchange of a caller to the call that it waits for; used on the event loop of the call. */
final class CallerConnection {
    private final Downstream<? super CallerReply> head;
    private final EventLoop loop;
    private boolean answered;
    private LinePublisher lines;

    CallerConnection(Downstream<? super CallerReply> head, EventLoop loop) {
        this.head = Objects.requireNonNull(head, "head");
        this.loop = Objects.requireNonNull(loop, "loop");
    }

    boolean answered() {
        return answered;
    }

    /** Publishes lines that were added to the stream. */
    void linesAdded() {
        if (lines != null) {
            lines.available();
        }
    }

    void reply(CallerReply reply) {
        if (!answered) {
            answered = true;
            head.success(reply);
        }
    }

    /** Starts the stream, unless it has started. */
    void startStream(OpenCall call, int fromChunk) {
        if (!answered) {
            lines = new LinePublisher(call, loop, fromChunk);
            reply(new CallerReply.Stream(lines));
        }
    }

    /** Ends the stream without its end marker, since another connection has taken it over. */
    void supersede() {
        if (lines != null) {
            lines.cut();
        } else if (!answered) {
            reply(new CallerReply.Refusal(ErrorKind.DEADLINE_AFTER_SEND, 0));
        }
    }
}
