package org.lovagethread.gateway.http;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnknownFieldSet;
import java.util.List;
import org.lovagethread.gateway.policy.StreamVersions;
import org.lovagethread.wire.generated.GatewayState;

/**
 * Adds to the state of a gateway what it knows about the versions of services, and applies that of a peer.
 *
 * <p>The fields are not declared in the schema, since its compiler was missing: 31 states whether the sender knows all
 * versions of the last lifetime, and 32 names each service of which it has seen several.
 */
final class StreamVersionsCodec {
    private static final int COMPLETE_FIELD = 31;
    private static final int MIXED_SERVICES_FIELD = 32;

    private StreamVersionsCodec() {}

    static void addTo(GatewayState.Builder state, StreamVersions versions) {
        UnknownFieldSet.Builder fields = UnknownFieldSet.newBuilder(state.getUnknownFields());
        if (versions.isComplete()) {
            fields.mergeVarintField(COMPLETE_FIELD, 1);
        }
        UnknownFieldSet.Field.Builder services = UnknownFieldSet.Field.newBuilder();
        versions.mixedServicesSeenHere()
                .forEach(service -> services.addLengthDelimited(ByteString.copyFromUtf8(service)));
        fields.mergeField(MIXED_SERVICES_FIELD, services.build());
        state.setUnknownFields(fields.build());
    }

    static void applyPeer(GatewayState state, StreamVersions versions, long nowMillis) {
        UnknownFieldSet fields = state.getUnknownFields();
        List<String> services = fields.getField(MIXED_SERVICES_FIELD).getLengthDelimitedList().stream()
                .map(ByteString::toStringUtf8)
                .toList();
        boolean isComplete = fields.getField(COMPLETE_FIELD).getVarintList().contains(1L);
        versions.recordPeer(isComplete, services, nowMillis);
    }
}
