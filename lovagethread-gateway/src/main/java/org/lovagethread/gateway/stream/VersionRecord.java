package org.lovagethread.gateway.stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The software versions at which streams may have begun, as the store has them.
 *
 * <p>A version is recorded before streams begin at it, and removed when it has had no upstream for as long as a stream
 * can be taken up again. Therefore a record that is read after a request came proves where its stream began if it names
 * one version only.
 *
 * @param era the era of the store in which the record was begun; one of an earlier era may lack versions
 * @param trustedMillis the cluster time from which the record has all versions, in milliseconds
 * @param recordedMillis when each version was recorded, in milliseconds, by the names of services and versions
 */
record VersionRecord(long era, long trustedMillis, Map<String, Map<String, Long>> recordedMillis) {
    /** Name of the object in the store. */
    static final String NAME = "versions";

    private static final String ERA = "era";
    private static final String TRUSTED_MILLIS = "trusted_ms";
    private static final String VERSIONS = "versions";

    /** Returns whether the record has all versions. */
    boolean isTrusted(long storeEra, long clusterMillis) {
        return era == storeEra && clusterMillis >= trustedMillis;
    }

    /** Returns the recorded versions of a service. */
    Set<String> versions(String service) {
        return recordedMillis.getOrDefault(service, Map.of()).keySet();
    }

    /** Returns the recorded version of a service that has only one. */
    Optional<String> onlyVersion(String service) {
        Set<String> versions = versions(service);
        return versions.size() == 1 ? Optional.of(versions.iterator().next()) : Optional.empty();
    }

    boolean contains(ServiceVersion version) {
        return versions(version.service()).contains(version.version());
    }

    /** Returns a copy with further versions. Those that it contains already are kept. */
    VersionRecord with(Set<ServiceVersion> added, long clusterMillis) {
        Map<String, Map<String, Long>> merged = copy();
        added.forEach(version -> merged.computeIfAbsent(version.service(), key -> new TreeMap<>())
                .putIfAbsent(version.version(), clusterMillis));
        return new VersionRecord(era, trustedMillis, merged);
    }

    /** Returns a copy without some versions. */
    VersionRecord without(Set<ServiceVersion> removed) {
        Map<String, Map<String, Long>> left = copy();
        removed.forEach(version -> {
            Map<String, Long> versions = left.getOrDefault(version.service(), new TreeMap<>());
            versions.remove(version.version());
            if (versions.isEmpty()) {
                left.remove(version.service());
            }
        });
        return new VersionRecord(era, trustedMillis, left);
    }

    private Map<String, Map<String, Long>> copy() {
        Map<String, Map<String, Long>> copy = new TreeMap<>();
        recordedMillis.forEach((service, versions) -> copy.put(service, new TreeMap<>(versions)));
        return copy;
    }

    ObjectNode encode() {
        ObjectNode content = StreamOriginCodec.encode(Long.MAX_VALUE, Map.of());
        content.put(ERA, era);
        content.put(TRUSTED_MILLIS, trustedMillis);
        ObjectNode services = content.putObject(VERSIONS);
        recordedMillis.forEach((service, versions) -> {
            ObjectNode recorded = services.putObject(service);
            versions.forEach(recorded::put);
        });
        return content;
    }

    /** Decodes a record; empty if the content is none. */
    static Optional<VersionRecord> decode(JsonNode content) {
        JsonNode services = content.path(VERSIONS);
        if (!services.isObject() || !content.path(ERA).isIntegralNumber()) {
            return Optional.empty();
        }
        Map<String, Map<String, Long>> recorded = new TreeMap<>();
        services.fields().forEachRemaining(service -> {
            Map<String, Long> versions = new TreeMap<>();
            service.getValue()
                    .fields()
                    .forEachRemaining(version ->
                            versions.put(version.getKey(), version.getValue().asLong()));
            recorded.put(service.getKey(), versions);
        });
        return Optional.of(new VersionRecord(
                content.path(ERA).asLong(), content.path(TRUSTED_MILLIS).asLong(Long.MAX_VALUE), recorded));
    }
}
