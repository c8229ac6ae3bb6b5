package org.lovagethread.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stands in for the Object API: versions, conditional updates and watches, with outages, delays and lost answers.
 *
 * <p>{@code POST /control} takes {@code outage}, {@code delayMillis}, {@code loseWriteAnswers} (a number of writes that
 * take effect without an answer), {@code silent} (no answer at all) and {@code rateLimits}.
 */
public final class ObjectApi {
    private static final int MOST_VALUE_BYTES = 1024 * 1024;
    private static final int READS_PER_SECOND = 2_000;
    private static final int WRITES_PER_SECOND = 400;

    private final Map<String, Integer> counters = new TreeMap<>();
    private final TreeMap<String, Stored> objects = new TreeMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private boolean outage;
    private boolean silent;
    private boolean rateLimits = true;
    private int delayMillis;
    private int loseWriteAnswers;
    private long nextVersion = 1;
    private long rateSecond;
    private int readsThisSecond;
    private int writesThisSecond;

    @SuppressWarnings("ArrayRecordComponent")
    private record Stored(long version, byte[] value) {}

    private record Watch(String path, long known, Exchange exchange) {}

    /**
     * Handles one request.
     *
     * @param exchange the request
     */
    public void handle(Exchange exchange) {
        if (exchange.path().equals("/control")) {
            control(exchange);
            return;
        }
        if (exchange.path().equals("/counters")) {
            exchange.reply(200, counters);
            return;
        }
        if (silent) {
            return;
        }
        if (delayMillis > 0) {
            exchange.after(delayMillis, () -> serve(exchange));
        } else {
            serve(exchange);
        }
    }

    private void serve(Exchange exchange) {
        String path = exchange.path();
        boolean write = !exchange.method().equals("GET");
        String kind = write ? "writes" : path.startsWith("/watch/") ? "watches" : "reads";
        counters.merge(kind, 1, Integer::sum);
        if (outage || overRate(write)) {
            counters.merge("refused", 1, Integer::sum);
            exchange.reply(503, Map.of("error", "unavailable"));
        } else if (path.startsWith("/watch/")) {
            watch(exchange, path.substring("/watch/".length()));
        } else if (path.startsWith("/list/")) {
            list(exchange, path.substring("/list/".length()));
        } else if (path.startsWith("/objects/")) {
            object(exchange, path.substring("/objects/".length()));
        } else {
            exchange.reply(404, Map.of("error", "unknown path"));
        }
    }

    private void control(Exchange exchange) {
        JsonNode order = exchange.json();
        outage = order.path("outage").asBoolean(outage);
        silent = order.path("silent").asBoolean(silent);
        rateLimits = order.path("rateLimits").asBoolean(rateLimits);
        delayMillis = order.path("delayMillis").asInt(delayMillis);
        loseWriteAnswers = order.path("loseWriteAnswers").asInt(loseWriteAnswers);
        if (outage) {
            watches.forEach(watch -> watch.exchange().reply(503, Map.of("error", "unavailable")));
            watches.clear();
        }
        exchange.reply(200, Map.of("ok", true));
    }

    private boolean overRate(boolean write) {
        long second = System.nanoTime() / 1_000_000_000L;
        if (second != rateSecond) {
            rateSecond = second;
            readsThisSecond = 0;
            writesThisSecond = 0;
        }
        int used = write ? ++writesThisSecond : ++readsThisSecond;
        counters.merge(write ? "peakWritesPerSecond" : "peakReadsPerSecond", used, Math::max);
        return rateLimits && used > (write ? WRITES_PER_SECOND : READS_PER_SECOND);
    }

    private void list(Exchange exchange, String prefix) {
        List<Map<String, Object>> found = new ArrayList<>();
        objects.subMap(prefix, prefix + Character.MAX_VALUE)
                .forEach((path, stored) -> found.add(Map.of(
                        "path",
                        path,
                        "version",
                        stored.version(),
                        "value",
                        new String(stored.value(), StandardCharsets.UTF_8))));
        exchange.reply(200, found);
    }

    private void object(Exchange exchange, String path) {
        Stored stored = objects.get(path);
        switch (exchange.method()) {
            case "GET" -> replyStored(exchange, stored, 200);
            case "PUT" -> put(exchange, path, stored);
            case "DELETE" -> delete(exchange, path, stored);
            default -> exchange.reply(405, Map.of("error", "method"));
        }
    }

    private void put(Exchange exchange, String path, Stored stored) {
        if (exchange.body().length > MOST_VALUE_BYTES) {
            exchange.reply(413, Map.of("error", "value over a megabyte"));
            return;
        }
        if (!matches(exchange, stored)) {
            replyStored(exchange, stored, 412);
            return;
        }
        Stored written = new Stored(nextVersion++, exchange.body());
        objects.put(path, written);
        notifyWatches(path, written);
        if (loseWriteAnswers > 0) {
            loseWriteAnswers--;
            exchange.reset();
            return;
        }
        exchange.reply(200, new byte[0], Map.of("ETag", etag(written)));
    }

    private void delete(Exchange exchange, String path, Stored stored) {
        if (!matches(exchange, stored)) {
            replyStored(exchange, stored, 412);
            return;
        }
        objects.remove(path);
        exchange.reply(200, Map.of("ok", true));
    }

    private static boolean matches(Exchange exchange, Stored stored) {
        if (exchange.header("If-None-Match").equals("*")) {
            return stored == null;
        }
        return stored != null && exchange.header("If-Match").equals(etag(stored));
    }

    private void notifyWatches(String path, Stored written) {
        List<Watch> due =
                watches.stream().filter(watch -> watch.path().equals(path)).toList();
        watches.removeAll(due);
        due.forEach(watch -> replyStored(watch.exchange(), written, 200));
    }

    private void watch(Exchange exchange, String path) {
        long known = exchange.longQuery("after");
        Stored stored = objects.get(path);
        if (stored != null && stored.version() != known) {
            replyStored(exchange, stored, 200);
            return;
        }
        Watch watch = new Watch(path, known, exchange);
        watches.add(watch);
        exchange.after(exchange.longQuery("waitMillis"), () -> {
            if (watches.remove(watch)) {
                replyStored(exchange, objects.get(path), 200);
            }
        });
    }

    private static String etag(Stored stored) {
        return "\"" + stored.version() + "\"";
    }

    private static void replyStored(Exchange exchange, Stored stored, int status) {
        if (stored == null) {
            exchange.reply(status == 200 ? 404 : status, new byte[0], Map.of());
        } else {
            exchange.reply(status, stored.value(), Map.of("ETag", etag(stored)));
        }
    }
}
