package org.lovagethread.node.caller;

import io.netty.channel.EventLoop;
import java.util.Objects;
import org.lovagethread.core.error.ErrorKind;
import ratpack.exec.Downstream;

/** The HTTP exchange of a caller that waits for a call. Instances are used on the event loop of the call only. */
final class CallerConnection {
    private final Downstream<? super CallerReply> downstream;
    private final EventLoop loop;
    private boolean replied;
    private LinePublisher publisher;

    CallerConnection(Downstream<? super CallerReply> downstream, EventLoop loop) {
        this.downstream = Objects.requireNonNull(downstream, "downstream");
        this.loop = Objects.requireNonNull(loop, "loop");
    }

    boolean hasReplied() {
        return replied;
    }

    /** Publishes the lines that were added to the stream. */
    void onLinesAdded() {
        if (publisher != null) {
            publisher.publishAvailable();
        }
    }

    void reply(CallerReply reply) {
        if (!replied) {
            replied = true;
            downstream.success(reply);
        }
    }

    /** Starts the stream unless a reply was sent already. */
    void startStream(OpenCall call, int fromChunk) {
        if (!replied) {
            publisher = new LinePublisher(call, loop, fromChunk);
            reply(new CallerReply.Stream(publisher));
        }
    }

    /** Ends this exchange because a newer connection of the caller replaces it. A stream ends without its end marker. */
    void supersede() {
        if (publisher != null) {
            publisher.abort();
        } else if (!replied) {
            reply(new CallerReply.Refusal(ErrorKind.DEADLINE_AFTER_SEND, 0));
        }
    }
}
