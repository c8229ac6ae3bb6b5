package org.lovagethread.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Stands in for a plain service whose bookings may not be repeated.
 *
 * <p>{@code GET /ledger} shows every booking that ran. {@code POST /control} sets faults for the next requests, each a
 * number of requests that it applies to: {@code resetBefore}, {@code resetAfter}, {@code cross}, {@code truncate},
 * {@code decline}, {@code fail}; and {@code delayMillis}, {@code leaving} and {@code exit}.
 */
public final class PlainService {
    private final String id;
    private final Optional<Path> ledgerFile;
    private final List<Map<String, String>> ledger = new ArrayList<>();
    private int cross;
    private int decline;
    private int delayMillis;
    private int fail;
    private int resetAfter;
    private int resetBefore;
    private int truncate;

    /**
     * Creates the service.
     *
     * @param id the identifier of the instance
     * @param ledgerFile the file to which the key of each booking is appended, so that it outlives the process
     */
    public PlainService(String id, Optional<Path> ledgerFile) {
        this.id = id;
        this.ledgerFile = ledgerFile;
    }

    /**
     * Handles one request.
     *
     * @param exchange the request
     */
    public void handle(Exchange exchange) {
        switch (exchange.path()) {
            case "/control" -> control(exchange);
            case "/ledger" -> exchange.reply(200, ledger);
            default -> {
                if (resetBefore > 0) {
                    resetBefore--;
                    exchange.reset();
                } else if (delayMillis > 0) {
                    exchange.after(delayMillis, () -> run(exchange));
                } else {
                    run(exchange);
                }
            }
        }
    }

    private void control(Exchange exchange) {
        JsonNode order = exchange.json();
        cross = order.path("cross").asInt(cross);
        decline = order.path("decline").asInt(decline);
        delayMillis = order.path("delayMillis").asInt(delayMillis);
        fail = order.path("fail").asInt(fail);
        resetAfter = order.path("resetAfter").asInt(resetAfter);
        resetBefore = order.path("resetBefore").asInt(resetBefore);
        truncate = order.path("truncate").asInt(truncate);
        exchange.reply(200, Map.of("ok", true));
        if (order.path("exit").asBoolean(false)) {
            Runtime.getRuntime().halt(0);
        }
    }

    private void run(Exchange exchange) {
        if (decline > 0) {
            decline--;
            exchange.reply(503, "{\"error\":\"busy\"}".getBytes(StandardCharsets.UTF_8), Map.of("X-Run", "not-run"));
            return;
        }
        String request = exchange.header("X-Request-Id");
        boolean booking = exchange.method().equals("POST");
        if (booking) {
            ledgerFile.ifPresent(file -> append(file, exchange.header("Idempotency-Key")));
            ledger.add(Map.of(
                    "key",
                    exchange.header("Idempotency-Key"),
                    "request",
                    request,
                    "instance",
                    id,
                    "path",
                    exchange.path(),
                    "body",
                    new String(exchange.body(), StandardCharsets.UTF_8)));
        }
        if (resetAfter > 0) {
            resetAfter--;
            exchange.reset();
            return;
        }
        if (fail > 0) {
            fail--;
            exchange.reply(500, Map.of("error", "failed"));
            return;
        }
        answer(exchange, booking, request);
    }

    private static void append(Path file, String key) {
        try {
            Files.writeString(file, key + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void answer(Exchange exchange, boolean booking, String request) {
        Map<String, Object> answer = booking
                ? Map.of("booking", id + "-" + ledger.size(), "request", request, "path", exchange.path())
                : Map.of(
                        "record",
                        exchange.path(),
                        "request",
                        request,
                        "depthMillimetres",
                        120 + exchange.path().length());
        byte[] content;
        try {
            content = Exchange.JSON.writeValueAsBytes(answer);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
        String identity = request;
        if (cross > 0) {
            cross--;
            identity = "another-" + request;
        }
        Map<String, String> headers = Map.of("X-Request-Id", identity);
        if (truncate > 0) {
            truncate--;
            exchange.truncate(content, headers);
        } else {
            exchange.reply(200, content, headers);
        }
    }
}
