package org.lovagethread.gateway.stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Encodes the streams that began at a gateway in a certain time, a chunk, as the content of an object in the store. */
final class StreamOriginCodec {
    private static final String EXPIRY_MILLIS = "expires_ms";
    private static final String SERVICES = "services";

    private StreamOriginCodec() {}

    /**
     * A stored chunk.
     *
     * @param expiryMillis the cluster time from which no stream of the chunk can be taken up again, in milliseconds
     * @param versionsByService the versions by the keys of the streams, for each service with several versions
     */
    record Chunk(long expiryMillis, Map<String, Map<Long, String>> versionsByService) {}

    static ObjectNode encode(long expiryMillis, Map<String, List<BegunStream>> streamsByService) {
        ObjectNode content = JsonNodeFactory.instance.objectNode();
        content.put(EXPIRY_MILLIS, expiryMillis);
        ObjectNode services = content.putObject(SERVICES);
        streamsByService.forEach((service, streams) -> {
            Map<String, Long> counts = new HashMap<>();
            streams.forEach(stream -> counts.merge(stream.version(), 1L, Long::sum));
            ObjectNode versions = services.putObject(service);
            counts.forEach((version, count) -> versions.put(version, keys(streams, version, count.intValue())));
        });
        return content;
    }

    private static byte[] keys(List<BegunStream> streams, String version, int count) {
        ByteBuffer keys = ByteBuffer.allocate(count * Long.BYTES);
        for (BegunStream stream : streams) {
            if (stream.version().equals(version)) {
                keys.putLong(stream.key());
            }
        }
        return keys.array();
    }

    /**
     * Decodes a chunk.
     *
     * @throws IllegalArgumentException if the content is not a chunk
     */
    static Chunk decode(JsonNode content) {
        JsonNode services = content.path(SERVICES);
        if (!services.isObject()) {
            throw new IllegalArgumentException("not a chunk of streams: " + content.getNodeType());
        }
        Map<String, Map<Long, String>> versionsByService = new HashMap<>();
        services.fields()
                .forEachRemaining(
                        service -> versionsByService.put(service.getKey(), decodeVersions(service.getValue())));
        return new Chunk(expiryMillis(content), versionsByService);
    }

    /** Returns when a chunk expires; zero, long past, for other content. */
    static long expiryMillis(JsonNode content) {
        return content.path(EXPIRY_MILLIS).asLong();
    }

    private static Map<Long, String> decodeVersions(JsonNode versions) {
        Map<Long, String> versionByKey = new HashMap<>();
        versions.fields().forEachRemaining(version -> {
            ByteBuffer keys = ByteBuffer.wrap(
                    Base64.getDecoder().decode(version.getValue().asText()));
            while (keys.remaining() >= Long.BYTES) {
                versionByKey.put(keys.getLong(), version.getKey());
            }
        });
        return versionByKey;
    }
}
