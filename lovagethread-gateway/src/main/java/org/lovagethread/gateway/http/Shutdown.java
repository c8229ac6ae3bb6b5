package org.lovagethread.gateway.http;

import org.lovagethread.gateway.GatewaySettings;
import org.lovagethread.gateway.store.ObjectKind;

/** Shuts a gateway down gracefully: waits until callers use other gateways and all requests have ended. */
final class Shutdown {
    /** Time for which callers may still connect to a cached address of this gateway, in milliseconds. */
    private static final long CALLER_DRAIN_MILLIS = 3_500;

    /** Time by which the gateway stops before the platform kills the process, in milliseconds. */
    private static final long EXIT_MARGIN_MILLIS = 400;

    private final Gateway gateway;
    private final long graceMillis;
    private long startMillis = -1;
    private boolean stopped;

    Shutdown(Gateway gateway, GatewaySettings.Bounds bounds) {
        this.gateway = gateway;
        this.graceMillis = bounds.stopGraceMillis();
    }

    /** Starts the shutdown; further calls have no effect. */
    void start() {
        if (startMillis >= 0) {
            return;
        }
        startMillis = gateway.nowMillis();
        gateway.log()
                .add(gateway.log()
                        .line("stopping")
                        .put("requests", gateway.callerServer().activeRequests()));
        gateway.callerServer().drain(startMillis);
        gateway.lease().release();
        gateway.ports().store().remove(ObjectKind.GATEWAYS, gateway.settings().node(), reply -> {});
    }

    /** Returns the time before which idle connections must have been used to stay open, in milliseconds. */
    long idleDeadlineMillis() {
        boolean drainEnded = startMillis >= 0 && gateway.nowMillis() - startMillis > CALLER_DRAIN_MILLIS;
        return drainEnded ? Long.MAX_VALUE : Long.MIN_VALUE;
    }

    /**
     * Stops the gateway when all requests have ended or the grace period is about to end.
     *
     * @param nowMillis the current time in milliseconds
     */
    void tick(long nowMillis) {
        if (startMillis < 0 || stopped) {
            return;
        }
        long elapsedMillis = nowMillis - startMillis;
        boolean idle =
                elapsedMillis > CALLER_DRAIN_MILLIS && gateway.callerServer().activeRequests() == 0;
        if (idle || elapsedMillis > graceMillis - EXIT_MARGIN_MILLIS) {
            stopped = true;
            gateway.signalStopped();
        }
    }
}
