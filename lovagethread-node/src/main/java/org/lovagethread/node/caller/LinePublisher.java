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
 * Publishes the lines of one stream to one connection, as fast as the connection asks for them.
 *
 * <p>The state is used on the event loop of the call; signals reach the subscriber on the loop of the connection.
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
                call.run(() -> cancelled());
            }

            @Override
            public void request(long count) {
                call.run(() -> requested(count));
            }
        });
        call.run(() -> {
            subscriber = target;
            available();
        });
    }

    /** Publishes what is there and asked for. */
    void available() {
        while (!done && subscriber != null && demand > 0) {
            Optional<String> line = call.chunkLine(nextChunk);
            if (line.isPresent()) {
                nextChunk++;
                demand--;
                publish(line.get());
            } else if (call.closingLine().isPresent()) {
                done = true;
                publish(call.closingLine().get());
                onLoop(subscriber::onComplete);
                call.streamDelivered();
            } else {
                return;
            }
        }
    }

    /** Ends the stream without its end marker. */
    void cut() {
        if (!done) {
            done = true;
            if (subscriber != null) {
                onLoop(subscriber::onComplete);
            }
        }
    }

    private void cancelled() {
        if (!done) {
            done = true;
            call.connectionLost();
        }
    }

    private void onLoop(Runnable signal) {
        if (connectionLoop.inEventLoop()) {
            signal.run();
        } else {
            connectionLoop.execute(signal);
        }
    }

    private void publish(String line) {
        ByteBuf bytes = Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8);
        onLoop(() -> subscriber.onNext(bytes));
    }

    private void requested(long count) {
        demand = demand + count < 0 ? Long.MAX_VALUE : demand + count;
        available();
    }
}
