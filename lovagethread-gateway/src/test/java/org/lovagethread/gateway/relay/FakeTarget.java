package org.lovagethread.gateway.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.exchange.ActiveRequest;
import org.lovagethread.gateway.exchange.CallerConnection;
import org.lovagethread.wire.generated.RelayRefusalReason;

/** Runs requests of peers as the test determines. */
final class FakeTarget implements RelayTarget {
    static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    final List<Run> runs = new CopyOnWriteArrayList<>();
    volatile Optional<RelayRefusalReason> refusal = Optional.empty();
    volatile Consumer<Run> script = run -> {};

    /** A request that is in progress or has ended. */
    static final class Run implements ActiveRequest {
        final CallerConnection caller;
        final HttpRequest header;
        final ByteBuf body;
        final long deadlineMillis;
        volatile boolean callerLeft;
        volatile boolean paused;

        Run(CallerConnection caller, HttpRequest header, ByteBuf body, long deadlineMillis) {
            this.caller = caller;
            this.header = header;
            this.body = body;
            this.deadlineMillis = deadlineMillis;
        }

        @Override
        public void onCallerDisconnected() {
            callerLeft = true;
        }

        @Override
        public void onCallerWritable() {
            paused = false;
        }

        @Override
        public void tick(long nowMillis) {}

        @Override
        public void onShutdown(long nowMillis) {
            caller.sendError(ErrorKind.STOPPING, 0);
        }

        @Override
        public void onInternalError(RuntimeException error) {
            caller.sendError(ErrorKind.UPSTREAM_FAILED, 0);
        }
    }

    @Override
    public Optional<RelayRefusalReason> refusal() {
        return refusal;
    }

    @Override
    public int maxBodyBytes() {
        return MAX_BODY_BYTES;
    }

    @Override
    public void run(CallerConnection caller, HttpRequest header, ByteBuf body, long deadlineMillis) {
        Run run = new Run(caller, header, body, deadlineMillis);
        caller.attach(run);
        script.accept(run);
        runs.add(run);
    }
}
