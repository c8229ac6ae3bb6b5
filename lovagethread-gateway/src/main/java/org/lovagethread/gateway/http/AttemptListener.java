package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Passes the response to one attempt on to its exchange. Once the attempt is not the current one, only the end of its
 * response matters, since it cannot be resumed then.
 */
final class AttemptListener implements UpstreamClient.Listener {
    private final UpstreamClient.Listener exchange;
    private final BooleanSupplier isCurrent;
    private final Runnable formerEndHandler;
    private final Consumer<RuntimeException> errorHandler;

    /**
     * Creates a listener.
     *
     * @param exchange receives the response
     * @param isCurrent returns whether the attempt is the current one of its exchange
     * @param formerEndHandler handles the end of the response when the attempt is not the current one
     * @param errorHandler ends the exchange after an exception
     */
    AttemptListener(
            UpstreamClient.Listener exchange,
            BooleanSupplier isCurrent,
            Runnable formerEndHandler,
            Consumer<RuntimeException> errorHandler) {
        this.exchange = exchange;
        this.isCurrent = isCurrent;
        this.formerEndHandler = formerEndHandler;
        this.errorHandler = errorHandler;
    }

    @Override
    public void onNotSent() {
        runAtEnd(exchange::onNotSent);
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
        runAtEnd(exchange::onEnd);
    }

    @Override
    public void onFailure(String reason) {
        runAtEnd(() -> exchange.onFailure(reason));
    }

    private void runAtEnd(Runnable action) {
        run(isCurrent.getAsBoolean() ? action : formerEndHandler);
    }

    private void runIfCurrent(Runnable action) {
        if (isCurrent.getAsBoolean()) {
            run(action);
        }
    }

    private void run(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            errorHandler.accept(e);
        }
    }
}
