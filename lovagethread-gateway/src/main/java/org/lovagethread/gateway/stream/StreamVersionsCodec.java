package org.lovagethread.gateway.stream;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnknownFieldSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lovagethread.wire.generated.GatewayState;

/**
 * Adds to the state of a gateway what it knows about the versions of services, and applies that of a peer.
 *
 * <p>The fields are not declared in the schema, since its compiler was missing: 31 states whether the sender knows all
 * versions of the last lifetime, 32 names each service of which it has seen several, and 33 each other service with the
 * version that it has seen, separated by a line feed.
 */
public final class StreamVersionsCodec {
    private static final int COMPLETE_FIELD = 31;
    private static final int MIXED_SERVICES_FIELD = 32;
    private static final int VERSIONS_FIELD = 33;
    private static final String SEPARATOR = "\n";

    private StreamVersionsCodec() {}

    /**
     * Adds what this gateway knows to its state.
     *
     * @param state the state
     * @param versions the versions of services
     */
    public static void addTo(GatewayState.Builder state, StreamVersions versions) {
        UnknownFieldSet.Builder fields = UnknownFieldSet.newBuilder(state.getUnknownFields());
        if (versions.isComplete()) {
            fields.mergeVarintField(COMPLETE_FIELD, 1);
        }
        UnknownFieldSet.Field.Builder services = UnknownFieldSet.Field.newBuilder();
        versions.mixedServicesSeenHere()
                .forEach(service -> services.addLengthDelimited(ByteString.copyFromUtf8(service)));
        fields.mergeField(MIXED_SERVICES_FIELD, services.build());
        UnknownFieldSet.Field.Builder single = UnknownFieldSet.Field.newBuilder();
        versions.onlyVersionsSeenHere()
                .forEach((service, version) ->
                        single.addLengthDelimited(ByteString.copyFromUtf8(service + SEPARATOR + version)));
        fields.mergeField(VERSIONS_FIELD, single.build());
        state.setUnknownFields(fields.build());
    }

    /**
     * Applies the state of a peer.
     *
     * @param state the state
     * @param versions the versions of services
     * @param nowMillis the current time in milliseconds
     */
    public static void applyPeer(GatewayState state, StreamVersions versions, long nowMillis) {
        UnknownFieldSet fields = state.getUnknownFields();
        List<String> services = fields.getField(MIXED_SERVICES_FIELD).getLengthDelimitedList().stream()
                .map(ByteString::toStringUtf8)
                .toList();
        Map<String, String> single = new HashMap<>();
        for (ByteString pair : fields.getField(VERSIONS_FIELD).getLengthDelimitedList()) {
            String[] parts = pair.toStringUtf8().split(SEPARATOR, 2);
            if (parts.length == 2) {
                single.put(parts[0], parts[1]);
            }
        }
        boolean isComplete = fields.getField(COMPLETE_FIELD).getVarintList().contains(1L);
        versions.recordPeer(isComplete, services, single, nowMillis);
    }
}
