package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Passes the response to one attempt on to its exchange, and ignores it once the attempt has ended. */
final class AttemptListener implements UpstreamClient.Listener {
    private final UpstreamClient.Listener exchange;
    private final BooleanSupplier isCurrent;
    private final Consumer<RuntimeException> errorHandler;

    /**
     * Creates a listener.
     *
     * @param exchange receives the response
     * @param isCurrent returns whether the attempt is the current one of its exchange
     * @param errorHandler ends the exchange after an exception
     */
    AttemptListener(
            UpstreamClient.Listener exchange, BooleanSupplier isCurrent, Consumer<RuntimeException> errorHandler) {
        this.exchange = exchange;
        this.isCurrent = isCurrent;
        this.errorHandler = errorHandler;
    }

    @Override
    public void onNotSent() {
        runIfCurrent(exchange::onNotSent);
    }

    @Override
    public void onHeader(HttpResponse response) {
        runIfCurrent(() -> exchange.onHeader(response));
    }

    @Override
    public void onData(ByteBuf bytes) {
        runIfCurrent(() -> exchange.onData(bytes));
    }

    @Override
    public void onReadComplete() {
        runIfCurrent(exchange::onReadComplete);
    }

    @Override
    public void onEnd() {
        runIfCurrent(exchange::onEnd);
    }

    @Override
    public void onFailure(String reason) {
        runIfCurrent(() -> exchange.onFailure(reason));
    }

    private void runIfCurrent(Runnable action) {
        if (!isCurrent.getAsBoolean()) {
            return;
        }
        try {
            action.run();
        } catch (RuntimeException e) {
            errorHandler.accept(e);
        }
    }
}
