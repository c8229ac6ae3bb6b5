package org.lovagethread.node.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Publishes the lines of one stream to one connection according to the demand of the subscriber.
 *
 * <p>The state is confined to the event loop of the call. The subscriber is signalled on the event loop of the
 * connection.
 */
final class LinePublisher implements Publisher<ByteBuf> {
    private final OpenCall call;
    private final EventLoop connectionLoop;
    private int nextChunk;
    private long demand;
    private boolean done;
    private Subscriber<? super ByteBuf> subscriber;

    LinePublisher(OpenCall call, EventLoop connectionLoop, int fromChunk) {
        this.call = call;
        this.connectionLoop = connectionLoop;
        this.nextChunk = fromChunk + 1;
    }

    @Override
    public void subscribe(Subscriber<? super ByteBuf> target) {
        target.onSubscribe(new Subscription() {
            @Override
            public void cancel() {
                call.execute(() -> onCancel());
            }

            @Override
            public void request(long count) {
                call.execute(() -> onRequest(count));
            }
        });
        call.execute(() -> {
            subscriber = target;
            publishAvailable();
        });
    }

    /** Publishes the available lines up to the demand of the subscriber. */
    void publishAvailable() {
        while (!done && subscriber != null && demand > 0) {
            Optional<String> line = call.chunkLine(nextChunk);
            if (line.isPresent()) {
                nextChunk++;
                demand--;
                publish(line.get());
            } else if (call.lastLine().isPresent()) {
                done = true;
                publish(call.lastLine().get());
                signal(subscriber::onComplete);
                call.onStreamDelivered();
            } else {
                return;
            }
        }
    }

    /** Completes the stream without its end marker. */
    void abort() {
        if (!done) {
            done = true;
            if (subscriber != null) {
                signal(subscriber::onComplete);
            }
        }
    }

    private void onCancel() {
        if (!done) {
            done = true;
            call.onConnectionLost();
        }
    }

    private void signal(Runnable action) {
        if (connectionLoop.inEventLoop()) {
            action.run();
        } else {
            connectionLoop.execute(action);
        }
    }

    private void publish(String line) {
        ByteBuf bytes = Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8);
        signal(() -> subscriber.onNext(bytes));
    }

    private void onRequest(long count) {
        demand = demand + count < 0 ? Long.MAX_VALUE : demand + count;
        publishAvailable();
    }
}
