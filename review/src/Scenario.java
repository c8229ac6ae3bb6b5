import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Runs the scenario of one case: starts stand-ins and nodes, writes the record, and ends all processes. */
abstract class Scenario {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Node> nodes = new ArrayList<>();
    final Store store;
    final HttpPeer dutyApi;
    final Path folder;
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();

    Scenario(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        folder = Files.createTempDirectory("review");
        store = new Store();
        dutyApi = new HttpPeer("127.0.0.1", this::onDutyCall);
    }

    /** Plays the scenario and returns its exit status. */
    abstract int play() throws Exception;

    void onDutyCall(HttpPeer.Request request, HttpPeer.Connection connection) throws IOException {
        connection.respond(200, "", "{}");
    }

    int run() {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> nodes.forEach(Node::destroy)));
        int status = NOT_RUN;
        try {
            note("trouble=" + (trouble ? 1 : 0));
            status = play();
        } catch (Exception e) {
            note("could not run: " + e);
        } finally {
            try {
                end();
            } catch (Exception e) {
                note("clean-up: " + e);
            }
            note("exit " + status);
            record.close();
        }
        return status;
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void note(String text) {
        record.printf("%8d ms  %s%n", millis(), text);
        record.flush();
    }

    void startNodes(int count) throws Exception {
        Node.Layout layout = new Node.Layout(Node.freePorts(Math.max(3, count)), store.address(), dutyApi.address(), folder);
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i, layout));
        }
        for (Node node : nodes) {
            node.start();
        }
        for (Node node : nodes) {
            if (!node.awaitReady(20_000)) {
                throw new IOException(node.name + " did not become ready");
            }
            note(node.name + " is ready, process " + node.pid());
        }
    }

    /** Returns a configuration of routes to the service "desk", with one tenant. */
    static String configuration(long version, String keys, int rate, int burst) {
        return configuration(version, keys, rate, burst, 16_384);
    }

    static String configuration(long version, String keys, int rate, int burst, int maxHeaderBytes) {
        return """
                {"version":%d,"routes":[%s,%s],"services":[{"name":"desk","health_path":"/healthz","max_connections":96}],
                "limits":{"max_header_bytes":%d,"max_body_bytes":4194304,"header_timeout_ms":3000,
                "idle_timeout_ms":15000},"tenants":[{"name":"ice","api_keys":[%s],"priority":1,"unit":"token_count",
                "plain_tokens":200,"rate_per_s":%d,"burst":%d}]}"""
                .formatted(version, route("book", "unsafe", 1), route("read", "safe", 2), maxHeaderBytes, keys, rate, burst);
    }

    static String route(String name, String type, int maxAttempts) {
        return """
                {"name":"%s","hostname":"pond.example","path_prefix":"/%s/","route_type":"%s","timeout_ms":2500,
                "target_latency_ms":300,"priority":1,"service":"desk","max_attempts":%d,"allow_anonymous":false,
                "sticky_sessions":false,"stream_resume":false}"""
                .formatted(name, name, type, maxAttempts);
    }

    /** Returns the entry of a server in the store. */
    static String server(String address, String state, long born, int sequence) {
        return """
                {"service":"desk","address":"%s","zone":"z0","version":"v1","slots":6,"state":"%s",
                "cold_remaining_ms":0,"sequence":%d,"born":%d}"""
                .formatted(address, state, sequence, born);
    }

    private void end() throws Exception {
        for (Node node : nodes) {
            node.close();
        }
        store.close();
        dutyApi.close();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
