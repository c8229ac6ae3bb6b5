import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store. */
final class Store implements HttpPeer.Handler, AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();
    private static final String PATH = "/-/objects/";
    private static final String TYPE = "Content-Type: application/json\r\n";

    private record Event(long revision, String kind, ObjectNode object, boolean removed) {}

    private record Reply(int status, String body) {}

    private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
    private final List<Event> events = new ArrayList<>();
    private final HttpPeer server;
    private long revision = 100;

    Store() throws IOException {
        server = new HttpPeer("127.0.0.1", this);
    }

    String address() {
        return server.address();
    }

    HttpPeer server() {
        return server;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    /** Writes an object without a condition, as the operator and the servers do. */
    synchronized void put(String kind, String name, String spec) throws IOException {
        put(kind, name, JSON.readTree(spec));
    }

    synchronized JsonNode find(String kind, String name) {
        ObjectNode object = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        return object == null ? JSON.missingNode() : object.deepCopy();
    }

    private synchronized ObjectNode put(String kind, String name, JsonNode spec) {
        TreeMap<String, ObjectNode> objects = kinds.computeIfAbsent(kind, key -> new TreeMap<>());
        ObjectNode previous = objects.get(name);
        if (previous != null && previous.path("spec").equals(spec)) {
            return previous;
        }
        revision++;
        ObjectNode object = JSON.createObjectNode();
        ObjectNode metadata = object.putObject("metadata");
        metadata.put("name", name).put("rev", revision);
        metadata.put("create_rev", previous == null ? revision : previous.path("metadata").path("create_rev").asLong());
        metadata.putArray("finalizers");
        metadata.put("deleting", false);
        object.set("spec", spec);
        object.putNull("status");
        objects.put(name, object);
        events.add(new Event(revision, kind, object, false));
        notifyAll();
        return object;
    }

    /** Removes an object. */
    synchronized boolean remove(String kind, String name) {
        ObjectNode object = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (object == null) {
            return false;
        }
        revision++;
        events.add(new Event(revision, kind, object, true));
        notifyAll();
        return true;
    }

    @Override
    public void handle(HttpPeer.Request request, HttpPeer.Connection connection)
            throws IOException, InterruptedException {
        Reply reply = answer(request);
        connection.respond(reply.status(), TYPE, reply.body());
    }

    private Reply answer(HttpPeer.Request request) throws IOException, InterruptedException {
        if (!request.path().startsWith(PATH)) {
            return new Reply(404, "{}");
        }
        String[] path = request.path().substring(PATH.length()).split("/", -1);
        return switch (request.method()) {
            case "GET" -> path.length > 1 ? read(path[0], path[1])
                    : request.query("watch").isEmpty() ? list(path[0]) : watch(path[0], request);
            case "POST" -> create(path[0], JSON.readTree(request.body()));
            case "PUT" -> replace(path[0], path[1], JSON.readTree(request.body()));
            case "DELETE" -> new Reply(remove(path[0], path[1]) ? 200 : 404, "{}");
            default -> new Reply(404, "{}");
        };
    }

    private synchronized Reply read(String kind, String name) {
        ObjectNode object = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        return object == null ? new Reply(404, "{}") : new Reply(200, object.toString());
    }

    private synchronized Reply list(String kind) {
        ObjectNode page = JSON.createObjectNode();
        ArrayNode items = page.putArray("items");
        kinds.getOrDefault(kind, new TreeMap<>()).values().forEach(items::add);
        page.put("truncated", false).put("as_of", revision);
        return new Reply(200, page.toString());
    }

    private synchronized Reply create(String kind, JsonNode body) {
        String name = body.path("metadata").path("name").asText();
        ObjectNode existing = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        return existing != null
                ? new Reply(409, existing.toString())
                : new Reply(200, put(kind, name, body.path("spec")).toString());
    }

    private synchronized Reply replace(String kind, String name, JsonNode body) {
        ObjectNode existing = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        if (existing == null) {
            return new Reply(404, "{}");
        }
        JsonNode expected = body.path("metadata").path("rev");
        if (expected.isNumber() && expected.asLong() != existing.path("metadata").path("rev").asLong()) {
            return new Reply(409, existing.toString());
        }
        return new Reply(200, put(kind, name, body.path("spec")).toString());
    }

    private synchronized Reply watch(String kind, HttpPeer.Request request) throws InterruptedException {
        long since = Long.parseLong(request.query("watch"));
        long waitMillis = Math.min(30_000, Long.parseLong(request.query("wait_ms")));
        long deadline = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            List<Event> found = events.stream()
                    .filter(event -> event.kind().equals(kind) && event.revision() > since)
                    .toList();
            long leftMillis = (deadline - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || leftMillis <= 0) {
                ObjectNode body = JSON.createObjectNode();
                ArrayNode list = body.putArray("events");
                found.forEach(event ->
                        list.addObject().put("removed", event.removed()).set("object", event.object()));
                body.put("as_of", revision);
                return new Reply(200, body.toString());
            }
            wait(leftMillis);
        }
    }
}
