package org.lovagethread.gateway.http;

import org.lovagethread.gateway.GatewaySettings;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.store.ObjectKind;

/** Shuts a gateway down gracefully: waits until callers use other gateways and all requests have ended. */
final class Shutdown {
    /** Time for which callers may still connect to a cached address of this gateway, in milliseconds. */
    private static final long CALLER_DRAIN_MILLIS = 3_500;

    /** Time from the start of the shutdown during which new streams are still accepted, in milliseconds. */
    private static final long STREAM_ACCEPT_MILLIS = 2_700;

    /** Time by which the gateway stops before the platform kills the process, in milliseconds. */
    private static final long EXIT_MARGIN_MILLIS = 400;

    /** Time after a response within which a caller may still reuse its connection, in milliseconds. */
    private static final long REUSE_MILLIS = 300;

    /** Time for sending the last responses, in milliseconds. */
    private static final long FLUSH_MILLIS = 200;

    /** Time for answering what was received before the port for callers was closed, in milliseconds. */
    private static final long LAST_READ_MILLIS = 60;

    private final Gateway gateway;
    private final long graceMillis;
    private long startMillis = -1;
    private boolean requestsEnded;
    private long lastReadMillis = Long.MAX_VALUE;
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
        gateway.store().remove(ObjectKind.GATEWAYS, gateway.settings().node(), reply -> {});
    }

    /**
     * Returns the time in milliseconds since which idle connections must have been used to stay open.
     *
     * @param nowMillis the current time in milliseconds
     * @return the time; after the drain time shortly before now, since a caller may be about to reuse a connection
     */
    long idleDeadlineMillis(long nowMillis) {
        return hasDrained(nowMillis) ? nowMillis - REUSE_MILLIS : Long.MIN_VALUE;
    }

    /**
     * Returns whether a request that has been read may still be processed. Once callers have had time to move to other
     * gateways, a request that must not be repeated is accepted only if it can use all its time: one that an upstream
     * may be executing when the process stops could not be answered truly.
     *
     * @param route the route of the request
     * @param timeoutMillis the time within which the request must be answered, in milliseconds
     * @param nowMillis the current time in milliseconds
     * @return true unless the gateway is stopping and the request would have to be refused or ended soon
     */
    boolean accepts(Route route, long timeoutMillis, long nowMillis) {
        if (startMillis < 0) {
            return true;
        }
        long elapsedMillis = nowMillis - startMillis;
        if (requestsEnded || (route.isStreaming() && elapsedMillis > STREAM_ACCEPT_MILLIS)) {
            return false;
        }
        return route.isRetryable() || !hasDrained(nowMillis) || elapsedMillis + timeoutMillis <= lastRequestMillis();
    }

    private boolean hasDrained(long nowMillis) {
        return startMillis >= 0 && nowMillis - startMillis > Math.min(CALLER_DRAIN_MILLIS, lastRequestMillis());
    }

    /** Returns the time from the start of the shutdown at which requests in progress are ended, in milliseconds. */
    private long lastRequestMillis() {
        return graceMillis - EXIT_MARGIN_MILLIS - FLUSH_MILLIS;
    }

    /**
     * Stops the gateway when all requests have ended, or ends them when the grace period is about to end. Before it
     * stops, the port for callers is closed and what has been received by then is answered.
     *
     * @param nowMillis the current time in milliseconds
     */
    void tick(long nowMillis) {
        if (startMillis < 0 || stopped) {
            return;
        }
        long elapsedMillis = nowMillis - startMillis;
        if (!requestsEnded && elapsedMillis > lastRequestMillis()) {
            requestsEnded = true;
            gateway.callerServer().shutDown(nowMillis);
        }
        boolean idle = hasDrained(nowMillis) && gateway.callerServer().activeRequests() == 0;
        if ((idle || requestsEnded) && lastReadMillis == Long.MAX_VALUE) {
            lastReadMillis = nowMillis + LAST_READ_MILLIS;
            gateway.stopAccepting();
        }
        boolean answered = nowMillis >= lastReadMillis && gateway.callerServer().activeRequests() == 0;
        if (answered || elapsedMillis > graceMillis - EXIT_MARGIN_MILLIS) {
            stopped = true;
            gateway.signalStopped();
        }
    }
}
