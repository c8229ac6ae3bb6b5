package org.lovagethread.gateway.http;

import java.util.List;
import org.lovagethread.gateway.policy.ZoneTraffic;
import org.lovagethread.gateway.policy.ZoneTraffic.Flow;
import org.lovagethread.wire.generated.ZoneFlow;

/** Encodes and decodes the traffic between zones in messages between gateways. */
final class ZoneTrafficCodec {
    private static final double PERMILLE = 1_000;

    private ZoneTrafficCodec() {}

    /**
     * Encodes flows.
     *
     * @param flows the flows
     * @return one message for each flow
     */
    static List<ZoneFlow> encode(List<Flow> flows) {
        return flows.stream().map(ZoneTrafficCodec::encode).toList();
    }

    private static ZoneFlow encode(Flow flow) {
        return ZoneFlow.newBuilder()
                .setService(flow.service())
                .setZone(flow.zone())
                .setRequests(flow.requests())
                .setTokens(flow.tokens())
                .setBytesSent(flow.bytesSent())
                .setBytesReceived(flow.bytesReceived())
                .setSharePermille((int) Math.ceil(flow.share() * PERMILLE))
                .build();
    }

    /**
     * Decodes flows. Negative numbers are replaced by zero, and shares above one by one.
     *
     * @param messages the messages, one for each flow
     * @return the flows, {@link ZoneTraffic#MAX_REPORTED_FLOWS} at most
     */
    static List<Flow> decode(List<ZoneFlow> messages) {
        return messages.stream()
                .limit(ZoneTraffic.MAX_REPORTED_FLOWS)
                .map(ZoneTrafficCodec::decode)
                .toList();
    }

    private static Flow decode(ZoneFlow message) {
        return new Flow(
                message.getService(),
                message.getZone(),
                Math.max(0, message.getRequests()),
                Math.max(0, message.getTokens()),
                Math.max(0, message.getBytesSent()),
                Math.max(0, message.getBytesReceived()),
                Math.max(0, Math.min(1, message.getSharePermille() / PERMILLE)));
    }
}
