package org.lovagethread.review2;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A sound server; it answers with a stream of events where it works for more than a second, else with a short body. */
final class Server implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** A request that the server has run. */
    record Run(long atNanos, String requestId) {}

    private final String id;
    private final String service;
    private static final long STREAM_MILLIS = 1_000;
    private static final int EVENTS = 25;

    private final long workMillis;
    private final long born = System.currentTimeMillis();
    private final List<Run> runs = new ArrayList<>();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final HttpServer server;
    private volatile boolean leaving;
    private int sequence;

    Server(String id, String service, long workMillis) throws IOException {
        this.id = id;
        this.service = service;
        this.workMillis = workMillis;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 128);
        server.setExecutor(executor);
        server.createContext("/", this::handle);
        server.start();
    }

    String id() {
        return id;
    }

    /** Returns the entry with which the server registers; from then on its answers agree with it. */
    synchronized ObjectNode entry(String state) {
        leaving = state.equals("draining");
        sequence++;
        return JSON.createObjectNode()
                .put("service", service)
                .put("address", "127.0.0.1:" + server.getAddress().getPort())
                .put("zone", "highlands-a")
                .put("version", "v1")
                .put("slots", 6)
                .put("state", state)
                .put("cold_remaining_ms", 0)
                .put("sequence", sequence)
                .put("born", born);
    }

    synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    /** Ends the process of the server: its connections close, and its port refuses new ones. */
    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String requestId = exchange.getRequestHeaders().getFirst("X-Request-Id");
        if (exchange.getRequestURI().getPath().equals("/healthz")) {
            exchange.getResponseHeaders().set("X-Instance-Id", id);
            exchange.sendResponseHeaders(leaving ? 503 : 200, -1);
            exchange.close();
            return;
        }
        exchange.getResponseHeaders().set("X-Request-Id", requestId);
        if (!id.equals(exchange.getRequestHeaders().getFirst("X-Expect-Instance"))) {
            exchange.sendResponseHeaders(421, -1);
            exchange.close();
            return;
        }
        addRun(new Run(System.nanoTime(), requestId));
        if (workMillis > STREAM_MILLIS) {
            sendStream(exchange, requestId);
            return;
        }
        try {
            Thread.sleep(workMillis);
        } catch (InterruptedException e) {
            exchange.close();
            return;
        }
        byte[] answer = (requestId + ' ' + body.length).getBytes(StandardCharsets.UTF_8);
        setHeaders(exchange, requestId);
        exchange.sendResponseHeaders(200, answer.length);
        exchange.getResponseBody().write(answer);
        exchange.close();
    }

    private void setHeaders(HttpExchange exchange, String requestId) {
        exchange.getResponseHeaders().set("X-Response-Seal", "seal-" + requestId);
        if (leaving) {
            exchange.getResponseHeaders().set("Server-Leaving", "1");
            exchange.getResponseHeaders().set("Connection", "close");
        }
    }

    private void sendStream(HttpExchange exchange, String requestId) throws IOException {
        setHeaders(exchange, requestId);
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream out = exchange.getResponseBody()) {
            for (int event = 1; event <= EVENTS; event++) {
                Thread.sleep(workMillis / EVENTS);
                String text = "id: " + event + "\ndata: " + requestId + (event == EVENTS ? " end" : "") + "\n\n";
                out.write(text.getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
        } catch (InterruptedException e) {
            throw new IOException("the server has ended", e);
        }
    }

    private synchronized void addRun(Run run) {
        runs.add(run);
    }
}
