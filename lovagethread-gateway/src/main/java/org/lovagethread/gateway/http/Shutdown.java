package org.lovagethread.gateway.http;

import org.lovagethread.gateway.GatewaySettings;
import org.lovagethread.gateway.store.ObjectKind;

/** Stops a gateway without cutting requests: callers leave first, then what is in progress ends. */
final class Shutdown {
    /** Time for which callers may still come with an address that they kept, in milliseconds. */
    private static final long CALLERS_LEAVE_MILLIS = 3_500;

    /** Time before the kill at which the process ends by itself, in milliseconds. */
    private static final long MARGIN_MILLIS = 400;

    private final Gateway gateway;
    private final long graceMillis;
    private long begunMillis = -1;
    private boolean halted;

    Shutdown(Gateway gateway, GatewaySettings.Bounds bounds) {
        this.gateway = gateway;
        this.graceMillis = bounds.stopGraceMillis();
    }

    /** Begins to stop. */
    void begin() {
        if (begunMillis >= 0) {
            return;
        }
        begunMillis = gateway.nowMillis();
        gateway.log()
                .add(gateway.log()
                        .line("stopping")
                        .put("requests", gateway.front().busy()));
        gateway.front().drain(begunMillis);
        gateway.lease().release();
        gateway.ports().store().remove(ObjectKind.GATEWAYS, gateway.settings().node(), reply -> {});
    }

    /** Returns the time before which idle connections must have been used to stay open. */
    long idleDeadlineMillis() {
        boolean callersLeft = begunMillis >= 0 && gateway.nowMillis() - begunMillis > CALLERS_LEAVE_MILLIS;
        return callersLeft ? Long.MAX_VALUE : Long.MIN_VALUE;
    }

    /**
     * Ends the process when all requests have ended or its time is up.
     *
     * @param nowMillis the present time in milliseconds
     */
    void tick(long nowMillis) {
        if (begunMillis < 0 || halted) {
            return;
        }
        long age = nowMillis - begunMillis;
        boolean idle = age > CALLERS_LEAVE_MILLIS && gateway.front().busy() == 0;
        if (idle || age > graceMillis - MARGIN_MILLIS) {
            halted = true;
            gateway.halt();
        }
    }
}
