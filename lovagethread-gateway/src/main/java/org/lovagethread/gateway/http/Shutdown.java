package org.lovagethread.gateway.http;

import org.lovagethread.gateway.GatewaySettings;
import org.lovagethread.gateway.store.ObjectKind;

/** Shuts a gateway down gracefully: waits until callers use other gateways and all requests have ended. */
final class Shutdown {
    /** Time for which callers may still connect to a cached address of this gateway, in milliseconds. */
    private static final long CALLER_DRAIN_MILLIS = 3_500;

    /** Time by which the gateway stops before the platform kills the process, in milliseconds. */
    private static final long EXIT_MARGIN_MILLIS = 400;

    /** Time after a response within which a caller may still reuse its connection, in milliseconds. */
    private static final long REUSE_MILLIS = 300;

    /** Time for sending the last responses, in milliseconds. */
    private static final long FLUSH_MILLIS = 200;

    private final Gateway gateway;
    private final long graceMillis;
    private long startMillis = -1;
    private boolean accepting = true;
    private boolean requestsEnded;
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

    /**
     * Returns the time in milliseconds since which idle connections must have been used to stay open.
     *
     * @param nowMillis the current time in milliseconds
     * @return the time; after the drain time shortly before now, since a caller may be about to reuse a connection
     */
    long idleDeadlineMillis(long nowMillis) {
        return accepting ? Long.MIN_VALUE : nowMillis - REUSE_MILLIS;
    }

    /**
     * Closes the port for callers at the end of the drain time, so that no request is read that the gateway can't
     * finish. Stops the gateway when all requests have ended, or ends them when the grace period is about to end.
     *
     * @param nowMillis the current time in milliseconds
     */
    void tick(long nowMillis) {
        if (startMillis < 0 || stopped) {
            return;
        }
        long elapsedMillis = nowMillis - startMillis;
        long lastMillis = graceMillis - EXIT_MARGIN_MILLIS;
        if (accepting && elapsedMillis > Math.min(CALLER_DRAIN_MILLIS, lastMillis - FLUSH_MILLIS)) {
            accepting = false;
            gateway.stopAccepting();
        }
        if (!requestsEnded && elapsedMillis > lastMillis - FLUSH_MILLIS) {
            requestsEnded = true;
            gateway.callerServer().shutDown(nowMillis);
        }
        boolean idle = !accepting && gateway.callerServer().openConnections() == 0;
        if (idle || elapsedMillis > lastMillis) {
            stopped = true;
            gateway.signalStopped();
        }
    }
}
