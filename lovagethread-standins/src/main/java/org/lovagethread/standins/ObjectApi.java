package org.lovagethread.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Simulates the Object API: versioned objects, conditional updates and watches. Outages, delays and lost responses can
 * be injected.
 *
 * <p>{@code POST /control} accepts a JSON object with the fields {@code outage} (requests are rejected with status 503),
 * {@code delayMillis}, {@code loseWriteAnswers} (the number of writes that take effect but whose connection is reset
 * instead of a response), {@code silent} (requests get no response) and {@code rateLimits}.
 */
public final class ObjectApi {
    private static final int MAX_VALUE_BYTES = 1024 * 1024;
    private static final int MAX_READS_PER_SECOND = 2_000;
    private static final int MAX_WRITES_PER_SECOND = 400;

    private final Map<String, Integer> counters = new TreeMap<>();
    private final TreeMap<String, StoredObject> objects = new TreeMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private boolean outageActive;
    private boolean unresponsive;
    private boolean rateLimitsEnabled = true;
    private int delayMillis;
    private int writeResponsesToDrop;
    private long nextVersion = 1;
    private long rateLimitSecond;
    private int readsThisSecond;
    private int writesThisSecond;

    @SuppressWarnings("ArrayRecordComponent")
    private record StoredObject(long version, byte[] value) {}

    private record Watch(String path, long knownVersion, Exchange exchange) {}

    /**
     * Handles one request.
     *
     * @param exchange the request
     */
    public void handle(Exchange exchange) {
        if (exchange.path().equals("/control")) {
            handleControl(exchange);
            return;
        }
        if (exchange.path().equals("/counters")) {
            exchange.reply(200, counters);
            return;
        }
        if (unresponsive) {
            return;
        }
        if (delayMillis > 0) {
            exchange.schedule(delayMillis, () -> serve(exchange));
        } else {
            serve(exchange);
        }
    }

    private void serve(Exchange exchange) {
        String path = exchange.path();
        boolean write = !exchange.method().equals("GET");
        String kind = write ? "writes" : path.startsWith("/watch/") ? "watches" : "reads";
        counters.merge(kind, 1, Integer::sum);
        if (outageActive || exceedsRateLimit(write)) {
            counters.merge("refused", 1, Integer::sum);
            exchange.reply(503, Map.of("error", "unavailable"));
        } else if (path.startsWith("/watch/")) {
            handleWatch(exchange, path.substring("/watch/".length()));
        } else if (path.startsWith("/list/")) {
            handleList(exchange, path.substring("/list/".length()));
        } else if (path.startsWith("/objects/")) {
            handleObject(exchange, path.substring("/objects/".length()));
        } else {
            exchange.reply(404, Map.of("error", "unknown path"));
        }
    }

    private void handleControl(Exchange exchange) {
        JsonNode settings = exchange.jsonBody();
        outageActive = settings.path("outage").asBoolean(outageActive);
        unresponsive = settings.path("silent").asBoolean(unresponsive);
        rateLimitsEnabled = settings.path("rateLimits").asBoolean(rateLimitsEnabled);
        delayMillis = settings.path("delayMillis").asInt(delayMillis);
        writeResponsesToDrop = settings.path("loseWriteAnswers").asInt(writeResponsesToDrop);
        if (outageActive) {
            watches.forEach(watch -> watch.exchange().reply(503, Map.of("error", "unavailable")));
            watches.clear();
        }
        exchange.reply(200, Map.of("ok", true));
    }

    private boolean exceedsRateLimit(boolean write) {
        long currentSecond = System.nanoTime() / 1_000_000_000L;
        if (currentSecond != rateLimitSecond) {
            rateLimitSecond = currentSecond;
            readsThisSecond = 0;
            writesThisSecond = 0;
        }
        int requests = write ? ++writesThisSecond : ++readsThisSecond;
        counters.merge(write ? "peakWritesPerSecond" : "peakReadsPerSecond", requests, Math::max);
        return rateLimitsEnabled && requests > (write ? MAX_WRITES_PER_SECOND : MAX_READS_PER_SECOND);
    }

    private void handleList(Exchange exchange, String prefix) {
        List<Map<String, Object>> listed = new ArrayList<>();
        objects.subMap(prefix, prefix + Character.MAX_VALUE)
                .forEach((path, stored) -> listed.add(Map.of(
                        "path",
                        path,
                        "version",
                        stored.version(),
                        "value",
                        new String(stored.value(), StandardCharsets.UTF_8))));
        exchange.reply(200, listed);
    }

    private void handleObject(Exchange exchange, String path) {
        StoredObject stored = objects.get(path);
        switch (exchange.method()) {
            case "GET" -> replyStored(exchange, stored, 200);
            case "PUT" -> handlePut(exchange, path, stored);
            case "DELETE" -> handleDelete(exchange, path, stored);
            default -> exchange.reply(405, Map.of("error", "method not allowed"));
        }
    }

    private void handlePut(Exchange exchange, String path, StoredObject stored) {
        if (exchange.body().length > MAX_VALUE_BYTES) {
            exchange.reply(413, Map.of("error", "the value exceeds 1 MiB"));
            return;
        }
        if (!preconditionHolds(exchange, stored)) {
            replyStored(exchange, stored, 412);
            return;
        }
        StoredObject written = new StoredObject(nextVersion++, exchange.body());
        objects.put(path, written);
        notifyWatches(path, written);
        if (writeResponsesToDrop > 0) {
            writeResponsesToDrop--;
            exchange.resetConnection();
            return;
        }
        exchange.reply(200, new byte[0], Map.of("ETag", etag(written)));
    }

    private void handleDelete(Exchange exchange, String path, StoredObject stored) {
        if (!preconditionHolds(exchange, stored)) {
            replyStored(exchange, stored, 412);
            return;
        }
        objects.remove(path);
        exchange.reply(200, Map.of("ok", true));
    }

    private static boolean preconditionHolds(Exchange exchange, StoredObject stored) {
        if (exchange.header("If-None-Match").equals("*")) {
            return stored == null;
        }
        return stored != null && exchange.header("If-Match").equals(etag(stored));
    }

    private void notifyWatches(String path, StoredObject written) {
        List<Watch> matching =
                watches.stream().filter(watch -> watch.path().equals(path)).toList();
        watches.removeAll(matching);
        matching.forEach(watch -> replyStored(watch.exchange(), written, 200));
    }

    private void handleWatch(Exchange exchange, String path) {
        long knownVersion = exchange.longQueryParameter("after");
        StoredObject stored = objects.get(path);
        if (stored != null && stored.version() != knownVersion) {
            replyStored(exchange, stored, 200);
            return;
        }
        Watch watch = new Watch(path, knownVersion, exchange);
        watches.add(watch);
        exchange.schedule(exchange.longQueryParameter("waitMillis"), () -> {
            if (watches.remove(watch)) {
                replyStored(exchange, objects.get(path), 200);
            }
        });
    }

    private static String etag(StoredObject stored) {
        return "\"" + stored.version() + "\"";
    }

    private static void replyStored(Exchange exchange, StoredObject stored, int status) {
        if (stored == null) {
            exchange.reply(status == 200 ? 404 : status, new byte[0], Map.of());
        } else {
            exchange.reply(status, stored.value(), Map.of("ETag", etag(stored)));
        }
    }
}
