package org.lovagethread.gateway.stream;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.lovagethread.wire.generated.GatewayState;

/** Adds to the state of a gateway what it knows about the versions of services, and applies that of a peer. */
public final class StreamVersionsCodec {
    private StreamVersionsCodec() {}

    /**
     * Adds what this gateway knows to its state.
     *
     * @param state the state
     * @param versions the versions of services
     * @param recorder the versions that are recorded in the store
     */
    public static void addTo(GatewayState.Builder state, StreamVersions versions, VersionRecorder recorder) {
        state.setKnowsAllVersions(versions.isComplete()).addAllMixedServices(versions.mixedServicesSeenHere());
        versions.onlyVersionsSeenHere()
                .forEach((service, version) -> state.addSingleVersions(new ServiceVersion(service, version).text()));
        recorder.recorded().forEach(version -> state.addRecordedVersions(version.text()));
    }

    /**
     * Applies the state of a peer.
     *
     * @param state the state
     * @param versions the versions of services
     * @param recorder the versions that are recorded in the store
     * @param nowMillis the current time in milliseconds
     */
    public static void applyPeer(
            GatewayState state, StreamVersions versions, VersionRecorder recorder, long nowMillis) {
        Map<String, String> single = new HashMap<>();
        for (String text : state.getSingleVersionsList()) {
            ServiceVersion.parse(text).ifPresent(seen -> single.put(seen.service(), seen.version()));
        }
        versions.recordPeer(state.getKnowsAllVersions(), state.getMixedServicesList(), single, nowMillis);
        Set<ServiceVersion> recorded = state.getRecordedVersionsList().stream()
                .map(ServiceVersion::parse)
                .flatMap(Optional::stream)
                .collect(Collectors.toSet());
        recorder.recordPeer(recorded, nowMillis);
    }
}
