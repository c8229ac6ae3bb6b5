package org.lovagethread.review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's API for usage reports and orders of servers. It does not check the fence. */
final class DutyApi implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** A call in the order of arrival. */
    record Call(long atNanos, String path, String holder, long token, JsonNode body) {
        /** Returns the duty and its subject; all windows of usage are one subject. */
        String subject() {
            return path.equals("/usage")
                    ? path
                    : path + ' ' + body.path("service").asText() + ' ' + body.path("zone").asText();
        }
    }

    private final List<Call> calls = new ArrayList<>();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final HttpServer server;
    private final boolean reclaimableAvailable;

    /** Starts the API; without reclaimable servers, it answers orders of them with 409. */
    DutyApi(boolean reclaimableAvailable) throws IOException {
        this.reclaimableAvailable = reclaimableAvailable;
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        server.setExecutor(executor);
        server.createContext("/", this::handle);
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    synchronized List<Call> calls() {
        return List.copyOf(calls);
    }

    @Override
    public void close() {
        server.stop(0);
        executor.shutdownNow();
    }

    private void handle(HttpExchange exchange) throws IOException {
        JsonNode body = JSON.readTree(exchange.getRequestBody().readAllBytes());
        String path = exchange.getRequestURI().getPath();
        record(new Call(
                System.nanoTime(),
                path,
                exchange.getRequestHeaders().getFirst("X-Duty-Holder"),
                Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fencing-Token")),
                body));
        boolean refused = path.equals("/scale") && body.path("spot").asBoolean() && !reclaimableAvailable;
        byte[] bytes = "{}".getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(refused ? 409 : 200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private synchronized void record(Call call) {
        calls.add(call);
    }
}
