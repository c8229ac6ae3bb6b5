package org.lovagethread.gateway.relay;

import java.util.Locale;
import org.lovagethread.wire.generated.RelayFrame;
import org.lovagethread.wire.generated.RelayRefusal;
import org.lovagethread.wire.generated.RelayRefusalReason;

/** Creates refusals of requests of peers, and names their reasons. */
final class RelayRefusals {
    private static final String PREFIX = "RELAY_REFUSAL_REASON_";

    private RelayRefusals() {}

    /** Returns the frame that states that a request has not been run. */
    static RelayFrame frame(RelayRefusalReason reason) {
        return RelayFrame.newBuilder()
                .setRefusal(RelayRefusal.newBuilder().setReason(reason))
                .build();
    }

    /** Returns the label of a reason in logs and metrics. */
    static String label(RelayRefusalReason reason) {
        return reason.name().replace(PREFIX, "").toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
