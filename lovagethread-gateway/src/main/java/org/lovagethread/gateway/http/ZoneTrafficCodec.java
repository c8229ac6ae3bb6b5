package org.lovagethread.gateway.http;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import com.google.protobuf.UnknownFieldSet.Field;
import java.util.List;
import java.util.Optional;
import org.lovagethread.gateway.policy.ZoneTraffic;
import org.lovagethread.gateway.policy.ZoneTraffic.Flow;

/**
 * Encodes and decodes the traffic between zones in messages between gateways, as the message {@code ZoneFlow} of {@code
 * zone_traffic.proto}.
 *
 * <p>The fields are written as unknown fields of the generated messages, which have the same bytes as declared ones.
 */
final class ZoneTrafficCodec {
    /** Number of the repeated field in {@code GatewayState}. */
    static final int GATEWAY_STATE_FIELD = 27;

    /** Number of the repeated field in {@code CellState}. */
    static final int CELL_STATE_FIELD = 22;

    private static final int SERVICE = 1;
    private static final int ZONE = 2;
    private static final int REQUESTS = 3;
    private static final int TOKENS = 4;
    private static final int BYTES_SENT = 5;
    private static final int BYTES_RECEIVED = 6;
    private static final int SHARE_PERMILLE = 7;
    private static final double PERMILLE = 1_000;

    private ZoneTrafficCodec() {}

    /**
     * Encodes flows.
     *
     * @param flows the flows
     * @param field the number of the field that contains them
     * @return the fields of the message
     */
    static UnknownFieldSet encode(List<Flow> flows, int field) {
        if (flows.isEmpty()) {
            return UnknownFieldSet.getDefaultInstance();
        }
        Field.Builder repeated = Field.newBuilder();
        flows.forEach(flow -> repeated.addLengthDelimited(encode(flow)));
        return UnknownFieldSet.newBuilder().addField(field, repeated.build()).build();
    }

    private static ByteString encode(Flow flow) {
        return UnknownFieldSet.newBuilder()
                .addField(SERVICE, text(flow.service()))
                .addField(ZONE, text(flow.zone()))
                .addField(REQUESTS, number(flow.requests()))
                .addField(TOKENS, number(flow.tokens()))
                .addField(BYTES_SENT, number(flow.bytesSent()))
                .addField(BYTES_RECEIVED, number(flow.bytesReceived()))
                .addField(SHARE_PERMILLE, number((long) Math.ceil(flow.share() * PERMILLE)))
                .build()
                .toByteString();
    }

    private static Field text(String value) {
        return Field.newBuilder()
                .addLengthDelimited(ByteString.copyFromUtf8(value))
                .build();
    }

    private static Field number(long value) {
        return Field.newBuilder().addVarint(value).build();
    }

    /**
     * Decodes flows.
     *
     * @param fields the unknown fields of a received message
     * @param field the number of the field that contains the flows
     * @return the flows, {@link ZoneTraffic#MAX_REPORTED_FLOWS} at most; those that cannot be read are left out
     */
    static List<Flow> decode(UnknownFieldSet fields, int field) {
        return fields.getField(field).getLengthDelimitedList().stream()
                .limit(ZoneTraffic.MAX_REPORTED_FLOWS)
                .flatMap(encoded -> parse(encoded).stream())
                .map(ZoneTrafficCodec::decode)
                .toList();
    }

    private static Optional<UnknownFieldSet> parse(ByteString encoded) {
        try {
            return Optional.of(UnknownFieldSet.parseFrom(encoded));
        } catch (InvalidProtocolBufferException e) {
            return Optional.empty();
        }
    }

    private static Flow decode(UnknownFieldSet fields) {
        return new Flow(
                text(fields, SERVICE),
                text(fields, ZONE),
                number(fields, REQUESTS),
                number(fields, TOKENS),
                number(fields, BYTES_SENT),
                number(fields, BYTES_RECEIVED),
                Math.min(1, number(fields, SHARE_PERMILLE) / PERMILLE));
    }

    private static String text(UnknownFieldSet fields, int field) {
        List<ByteString> values = fields.getField(field).getLengthDelimitedList();
        return values.isEmpty() ? "" : values.get(values.size() - 1).toStringUtf8();
    }

    private static long number(UnknownFieldSet fields, int field) {
        List<Long> values = fields.getField(field).getVarintList();
        return values.isEmpty() ? 0 : Math.max(0, values.get(values.size() - 1));
    }
}
