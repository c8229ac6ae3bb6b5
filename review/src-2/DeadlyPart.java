package org.lovagethread.review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.lovagethread.review2.Scenario.Recorder;

/**
 * One part of prompts crashes each server that begins to write an answer on it. Counts the requests with the part that
 * reach servers later than they may, and the sound streams that are broken off in that time.
 *
 * <p>Arguments: the file for the record, and what is tried: {@code event}, servers crash with their first event written;
 * {@code half}, with half of it written; {@code restart}, they crash before, and all nodes are killed at once after
 * the part has been refused; {@code before}, as {@code restart} without the kill.
 */
public final class DeadlyPart {
    private static final int NODES = 3;
    private static final int SERVERS = 9;
    private static final int DOCUMENTS = 200;
    private static final int SOUND_CALLERS = 9;
    private static final int EVENTS = 10;
    private static final long EVENT_MILLIS = 40;
    private static final long FIRST_EVENT_MILLIS = 60;
    private static final long CONTACT_MILLIS = 4_000;
    private static final long DOWN_MILLIS = 3_000;

    /** Time after which the store removes the entry of a silent server: three heartbeats of 1.2 s. */
    private static final long EXPIRY_MILLIS = 3_600;

    private static final long SOUND_PAUSE_MILLIS = 200;
    private static final long WARM_UP_MILLIS = 6_000;
    private static final int CRASHES_BEFORE_LIMIT = 5;
    private static final int ALLOWED = 3;
    private static final String PART = "dead0bad";

    private final Recorder recorder;
    private final boolean trouble;
    private final String kind;
    private final Store store = new Store();
    private final DutyApi api = new DutyApi(false);
    private final List<Node> nodes = new ArrayList<>();
    private final List<ModelServer> servers = new ArrayList<>();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicInteger incarnations = new AtomicInteger();
    private final AtomicInteger crashes = new AtomicInteger();
    private final AtomicInteger arrivals = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger sound = new AtomicInteger();
    private final AtomicInteger soundLost = new AtomicInteger();
    private final AtomicInteger soundLostLate = new AtomicInteger();
    private volatile long limitNanos = Long.MAX_VALUE;
    private Node.Ports ports;

    private DeadlyPart(Recorder recorder, boolean trouble, String kind) throws IOException {
        this.recorder = recorder;
        this.trouble = trouble;
        this.kind = kind;
    }

    public static void main(String[] args) throws Exception {
        Scenario.main(args, (recorder, folder, trouble) -> {
            DeadlyPart scenario = new DeadlyPart(recorder, trouble, args[1]);
            try {
                return scenario.run(folder);
            } finally {
                scenario.close();
            }
        });
    }

    /** One incarnation of a model server. */
    private final class ModelServer {
        private final String id = "i-" + (100 + incarnations.incrementAndGet());
        private final HttpServer server;
        private boolean crashed;

        private ModelServer() throws IOException {
            server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 128);
            server.setExecutor(executor);
            server.createContext("/", this::handle);
            server.start();
            ObjectNode entry = Scenario.JSON.createObjectNode();
            entry.put("service", "ice-assistant")
                    .put("address", "127.0.0.1:" + server.getAddress().getPort())
                    .put("zone", "highlands-a")
                    .put("version", "v1")
                    .put("slots", 48)
                    .put("state", "ready")
                    .put("cold_remaining_ms", 0)
                    .put("sequence", 1)
                    .put("born", System.currentTimeMillis());
            store.put("servers", id, entry);
        }

        private void handle(HttpExchange exchange) throws IOException {
            exchange.getRequestBody().readAllBytes();
            String requestId = exchange.getRequestHeaders().getFirst("X-Request-Id");
            exchange.getResponseHeaders().set("X-Request-Id", requestId);
            if (!id.equals(exchange.getRequestHeaders().getFirst("X-Expect-Instance"))) {
                exchange.sendResponseHeaders(421, -1);
                exchange.close();
                return;
            }
            boolean deadly = exchange.getRequestHeaders().getFirst("X-Prompt-Prefix").contains(PART);
            if (deadly) {
                recordArrival(requestId, id);
            }
            try {
                Thread.sleep(FIRST_EVENT_MILLIS);
                if (deadly && !kind.equals("event") && !kind.equals("half")) {
                    crash();
                    return;
                }
                send(exchange, requestId, deadly);
            } catch (InterruptedException e) {
                exchange.close();
            }
        }

        private void send(HttpExchange exchange, String requestId, boolean deadly)
                throws IOException, InterruptedException {
            exchange.getResponseHeaders().set("X-Response-Seal", "seal-" + requestId);
            exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
            exchange.sendResponseHeaders(200, 0);
            try (OutputStream out = exchange.getResponseBody()) {
                for (int event = 1; event <= EVENTS; event++) {
                    String text = "id: " + event + "\ndata: " + requestId + (event == EVENTS ? " end" : "") + "\n\n";
                    if (deadly && kind.equals("half")) {
                        text = text.substring(0, text.length() / 2);
                    }
                    out.write(text.getBytes(StandardCharsets.UTF_8));
                    out.flush();
                    Thread.sleep(EVENT_MILLIS);
                    if (deadly) {
                        crash();
                        return;
                    }
                }
            }
        }

        private synchronized void crash() {
            if (crashed) {
                return;
            }
            crashed = true;
            server.stop(0);
            int number = crashes.incrementAndGet();
            recorder.line(id + " crashes, crash " + number);
            if (number == CRASHES_BEFORE_LIMIT) {
                limitNanos = System.nanoTime() + CONTACT_MILLIS * 1_000_000;
            }
            executor.execute(() -> {
                try {
                    Thread.sleep(DOWN_MILLIS);
                    new ModelServer();
                    Thread.sleep(EXPIRY_MILLIS - DOWN_MILLIS);
                    store.remove("servers", id);
                } catch (IOException e) {
                    recorder.line("a server does not come back: " + e);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
    }

    private int run(Path folder) throws Exception {
        store.put("config", "main", Scenario.configuration(7));
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new ModelServer());
        }
        ports = Scenario.freePorts(NODES);
        for (int i = 0; i < NODES; i++) {
            Node node = new Node(i, ports, folder, store.port(), api.port());
            nodes.add(node);
            node.start();
        }
        for (Node node : nodes) {
            node.awaitReady(20);
        }
        recorder.line("nodes are ready");
        for (int i = 0; i < SOUND_CALLERS; i++) {
            int number = i;
            executor.execute(() -> callSound(number));
        }
        Thread.sleep(WARM_UP_MILLIS);
        if (kind.equals("restart") || kind.equals("before")) {
            // The first crashes come within a second, so that there are five before the part is refused.
            callDeadly("w", "/query/2f", 200, CRASHES_BEFORE_LIMIT + 1);
            callDeadly("x", "/query/2f", 1_000, 8);
        } else {
            callDeadly("x", "/plan/2f", 1_000, 20);
        }
        if (kind.equals("restart") && trouble) {
            restartAll();
        }
        if (!kind.equals("event") && !kind.equals("half")) {
            callDeadly("y", "/plan/2f", 2_000, 8);
        }
        stopping.set(true);
        Thread.sleep(1_500);
        recorder.line(arrivals.get() + " requests with the part reached servers, " + crashes.get() + " crashes; "
                + late.get() + " were sent by machines in touch later than " + CONTACT_MILLIS
                + " ms after the fifth crash (" + ALLOWED + " are allowed)");
        recorder.line(sound.get() + " sound streams, " + soundLost.get() + " broken off, " + soundLostLate.get()
                + " of them later than " + CONTACT_MILLIS + " ms after the fifth crash");
        boolean ran = sound.get() > 0 && (!trouble || crashes.get() >= CRASHES_BEFORE_LIMIT);
        return !ran ? Scenario.NOT_RUN : late.get() > ALLOWED ? Scenario.BROKEN : Scenario.HELD;
    }

    /** Kills all nodes at once and starts them again; they are in touch when this returns. */
    private void restartAll() throws Exception {
        recorder.line("all nodes are killed");
        for (Node node : nodes) {
            node.signal("KILL");
        }
        for (Node node : nodes) {
            node.awaitExit(5);
        }
        Thread.sleep(500);
        for (Node node : nodes) {
            node.start();
        }
        for (Node node : nodes) {
            node.awaitReady(20);
        }
        Thread.sleep(CONTACT_MILLIS + 500);
        recorder.line("all nodes have been running for more than " + CONTACT_MILLIS + " ms again");
    }

    /** Sends requests with the part to each node in turn, no two alike. */
    private void callDeadly(String prefix, String path, long pauseMillis, int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            if (trouble) {
                String requestId = prefix + "-" + i;
                Node node = nodes.get(i % NODES);
                executor.execute(() -> {
                    Caller.Answer answer = Caller.stream(
                            node.host(), ports.front(), path, requestId, prompt(PART, requestId));
                    recorder.line(requestId + " at " + node.name() + " ended, "
                            + (answer.status() == 0 ? "broken off" : "status " + answer.status()));
                });
            }
            Thread.sleep(pauseMillis);
        }
    }

    private void callSound(int number) {
        for (int i = 0; !stopping.get(); i++) {
            String requestId = "s-" + number + "-" + i;
            Node node = nodes.get(number % NODES);
            String document = Integer.toHexString(0xd0c000 + (number * 31 + i * 7) % DOCUMENTS);
            Caller.Answer answer =
                    Caller.stream(node.host(), ports.front(), "/query/2f", requestId, prompt(document, requestId));
            sound.incrementAndGet();
            if (answer.status() == 0 && answer.body().startsWith("HTTP/1.1 200")) {
                soundLost.incrementAndGet();
                if (answer.endNanos() > limitNanos) {
                    soundLostLate.incrementAndGet();
                    recorder.line(answer.endNanos(), requestId + " at " + node.name() + " is broken off in the middle");
                }
            }
            try {
                Thread.sleep(SOUND_PAUSE_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static String prompt(String document, String requestId) {
        return "5c1e07a2:512," + document + ":4870," + Integer.toHexString(requestId.hashCode()) + ":618";
    }

    private void recordArrival(String requestId, String server) {
        arrivals.incrementAndGet();
        boolean isLate = System.nanoTime() > limitNanos;
        recorder.line(
                server + " receives " + requestId + (isLate ? ", late arrival " + late.incrementAndGet() : ""));
    }

    private void close() {
        stopping.set(true);
        nodes.forEach(Node::close);
        executor.shutdownNow();
        api.close();
        store.close();
    }
}
