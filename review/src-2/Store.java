package org.lovagethread.review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BiConsumer;

/**
 * The platform's store: objects by kind and name, lists in pages, watches, and writes under a condition. It answers after
 * four milliseconds and keeps its history for twenty seconds, as the sheet of the site says.
 */
final class Store implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String OBJECTS_PATH = "/-/objects/";
    private static final long ANSWER_MILLIS = 4;
    private static final long HISTORY_NANOS = 20_000_000_000L;
    private static final int PAGE_OBJECTS = 500;
    private static final int PAGE_BYTES = 1_000_000;

    private record Event(long revision, long atNanos, String kind, ObjectNode object, boolean removed) {}

    private record Reply(int status, ObjectNode body) {}

    private final Map<String, TreeMap<String, ObjectNode>> objectsByKind = new HashMap<>();
    private final Deque<Event> events = new ArrayDeque<>();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final HttpServer server;
    private volatile BiConsumer<String, Boolean> onListPage = (kind, truncated) -> {};
    private long revision = 100;
    private long oldestRevision = 100;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
        server.setExecutor(executor);
        server.createContext("/", this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Sets what is called, with the kind and whether more pages follow, after each page of a list has been answered. */
    void onListPage(BiConsumer<String, Boolean> listener) {
        onListPage = listener;
    }

    /** Creates or replaces an object, as the operator or a server does. */
    synchronized ObjectNode put(String kind, String name, JsonNode spec) {
        ObjectNode previous = objects(kind).get(name);
        revision++;
        ObjectNode object = JSON.createObjectNode();
        object.putObject("metadata")
                .put("name", name)
                .put("rev", revision)
                .put("create_rev", previous == null ? revision : previous.path("metadata").path("create_rev").asLong())
                .put("deleting", false)
                .putArray("finalizers");
        object.set("spec", spec);
        object.putNull("status");
        objects(kind).put(name, object);
        addEvent(kind, object, false);
        return object;
    }

    synchronized boolean remove(String kind, String name) {
        ObjectNode object = objects(kind).remove(name);
        if (object == null) {
            return false;
        }
        revision++;
        ObjectNode last = object.deepCopy();
        ((ObjectNode) last.path("metadata")).put("rev", revision);
        addEvent(kind, last, true);
        return true;
    }

    private void addEvent(String kind, ObjectNode object, boolean removed) {
        events.add(new Event(revision, System.nanoTime(), kind, object, removed));
        while (System.nanoTime() - events.peek().atNanos() > HISTORY_NANOS) {
            oldestRevision = events.poll().revision();
        }
        notifyAll();
    }

    private TreeMap<String, ObjectNode> objects(String kind) {
        return objectsByKind.computeIfAbsent(kind, key -> new TreeMap<>());
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String path = exchange.getRequestURI().getPath();
        if (!path.startsWith(OBJECTS_PATH)) {
            respond(exchange, new Reply(404, JSON.createObjectNode()));
            return;
        }
        String[] parts = path.substring(OBJECTS_PATH.length()).split("/", -1);
        Map<String, String> query = query(exchange.getRequestURI().getQuery());
        try {
            Thread.sleep(ANSWER_MILLIS);
            Reply reply = call(exchange.getRequestMethod(), parts, query, body);
            respond(exchange, reply);
            if (reply.body().has("items")) {
                onListPage.accept(parts[0], reply.body().path("truncated").asBoolean());
            }
        } catch (InterruptedException e) {
            exchange.close();
        }
    }

    private Reply call(String method, String[] parts, Map<String, String> query, byte[] body)
            throws IOException, InterruptedException {
        String kind = parts[0];
        return switch (method) {
            case "GET" -> parts.length > 1
                    ? read(kind, parts[1])
                    : query.containsKey("watch") ? watch(kind, query) : list(kind, query.getOrDefault("after", ""));
            case "POST" -> create(kind, JSON.readTree(body));
            case "PUT" -> replace(kind, parts[1], JSON.readTree(body));
            case "DELETE" -> new Reply(remove(kind, parts[1]) ? 200 : 404, JSON.createObjectNode());
            default -> new Reply(400, JSON.createObjectNode());
        };
    }

    private synchronized Reply list(String kind, String after) {
        ObjectNode page = JSON.createObjectNode();
        ArrayNode items = page.putArray("items");
        int bytes = 0;
        boolean truncated = false;
        for (ObjectNode object : objects(kind).tailMap(after, false).values()) {
            int size = object.toString().length();
            if (!items.isEmpty() && (items.size() == PAGE_OBJECTS || bytes + size > PAGE_BYTES)) {
                truncated = true;
                break;
            }
            bytes += size;
            items.add(object);
        }
        page.put("truncated", truncated).put("as_of", revision);
        return new Reply(200, page);
    }

    private synchronized Reply read(String kind, String name) {
        ObjectNode object = objects(kind).get(name);
        return object == null ? new Reply(404, JSON.createObjectNode()) : new Reply(200, object);
    }

    private synchronized Reply create(String kind, JsonNode object) {
        String name = object.path("metadata").path("name").asText();
        ObjectNode existing = objects(kind).get(name);
        return existing != null ? new Reply(409, existing) : new Reply(201, put(kind, name, object.path("spec")));
    }

    private synchronized Reply replace(String kind, String name, JsonNode object) {
        ObjectNode existing = objects(kind).get(name);
        if (existing == null) {
            return new Reply(404, JSON.createObjectNode());
        }
        JsonNode expected = object.path("metadata").path("rev");
        if (expected.isNumber() && expected.asLong() != existing.path("metadata").path("rev").asLong()) {
            return new Reply(409, existing);
        }
        return new Reply(200, put(kind, name, object.path("spec")));
    }

    private synchronized Reply watch(String kind, Map<String, String> query) throws InterruptedException {
        long since = Long.parseLong(query.get("watch"));
        long waitMillis = Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
        long deadlineNanos = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            if (since < oldestRevision) {
                return new Reply(410, JSON.createObjectNode());
            }
            ObjectNode body = JSON.createObjectNode();
            ArrayNode found = body.putArray("events");
            for (Event event : events) {
                if (event.revision() > since && event.kind().equals(kind)) {
                    found.addObject().put("removed", event.removed()).set("object", event.object());
                }
            }
            long remainingMillis = (deadlineNanos - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || remainingMillis <= 0) {
                body.put("as_of", revision);
                return new Reply(200, body);
            }
            wait(remainingMillis);
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> values = new HashMap<>();
        for (String part : text == null ? new String[0] : text.split("&", -1)) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                values.put(part.substring(0, equals), part.substring(equals + 1));
            }
        }
        return values;
    }

    private static void respond(HttpExchange exchange, Reply reply) throws IOException {
        byte[] bytes = reply.body().toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(reply.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
