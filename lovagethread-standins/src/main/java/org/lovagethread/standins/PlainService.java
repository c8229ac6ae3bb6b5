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
 * Simulates a plain service with non-idempotent bookings.
 *
 * <p>{@code GET /ledger} returns every booking that was executed. {@code POST /control} accepts the number of requests
 * to which a fault applies: {@code resetBefore} and {@code resetAfter} (the connection is reset before or after the
 * execution), {@code cross} (the response has the identifier of another request), {@code truncate}, {@code decline}
 * (the request is rejected without execution) and {@code fail} (the request is executed, but the response has status
 * 500). It also accepts {@code delayMillis} and {@code exit}.
 */
public final class PlainService {
    private final String instanceId;
    private final Optional<Path> ledgerFile;
    private final List<Map<String, String>> ledger = new ArrayList<>();
    private int responsesToMislabel;
    private int requestsToDecline;
    private int delayMillis;
    private int requestsToFail;
    private int resetsAfterExecution;
    private int resetsBeforeExecution;
    private int responsesToTruncate;

    /**
     * Creates a service.
     *
     * @param instanceId the identifier of the instance
     * @param ledgerFile the file to which the idempotency key of each booking is appended; the file
     *     outlives the process
     */
    public PlainService(String instanceId, Optional<Path> ledgerFile) {
        this.instanceId = instanceId;
        this.ledgerFile = ledgerFile;
    }

    /**
     * Handles one request.
     *
     * @param exchange the request
     */
    public void handle(Exchange exchange) {
        switch (exchange.path()) {
            case "/control" -> handleControl(exchange);
            case "/ledger" -> exchange.reply(200, ledger);
            default -> {
                if (resetsBeforeExecution > 0) {
                    resetsBeforeExecution--;
                    exchange.resetConnection();
                } else if (delayMillis > 0) {
                    exchange.schedule(delayMillis, () -> execute(exchange));
                } else {
                    execute(exchange);
                }
            }
        }
    }

    private void handleControl(Exchange exchange) {
        JsonNode settings = exchange.jsonBody();
        responsesToMislabel = settings.path("cross").asInt(responsesToMislabel);
        requestsToDecline = settings.path("decline").asInt(requestsToDecline);
        delayMillis = settings.path("delayMillis").asInt(delayMillis);
        requestsToFail = settings.path("fail").asInt(requestsToFail);
        resetsAfterExecution = settings.path("resetAfter").asInt(resetsAfterExecution);
        resetsBeforeExecution = settings.path("resetBefore").asInt(resetsBeforeExecution);
        responsesToTruncate = settings.path("truncate").asInt(responsesToTruncate);
        exchange.reply(200, Map.of("ok", true));
        if (settings.path("exit").asBoolean(false)) {
            Runtime.getRuntime().halt(0);
        }
    }

    private void execute(Exchange exchange) {
        if (requestsToDecline > 0) {
            requestsToDecline--;
            exchange.reply(503, "{\"error\":\"busy\"}".getBytes(StandardCharsets.UTF_8), Map.of("X-Run", "not-run"));
            return;
        }
        String requestId = exchange.header("X-Request-Id");
        boolean isBooking = exchange.method().equals("POST");
        if (isBooking) {
            ledgerFile.ifPresent(file -> appendKey(file, exchange.header("Idempotency-Key")));
            ledger.add(Map.of(
                    "key",
                    exchange.header("Idempotency-Key"),
                    "request",
                    requestId,
                    "instance",
                    instanceId,
                    "path",
                    exchange.path(),
                    "body",
                    new String(exchange.body(), StandardCharsets.UTF_8)));
        }
        if (resetsAfterExecution > 0) {
            resetsAfterExecution--;
            exchange.resetConnection();
            return;
        }
        if (requestsToFail > 0) {
            requestsToFail--;
            exchange.reply(500, Map.of("error", "failed"));
            return;
        }
        sendResult(exchange, isBooking, requestId);
    }

    private static void appendKey(Path file, String key) {
        try {
            Files.writeString(file, key + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void sendResult(Exchange exchange, boolean isBooking, String requestId) {
        Map<String, Object> result = isBooking
                ? Map.of("booking", instanceId + "-" + ledger.size(), "request", requestId, "path", exchange.path())
                : Map.of(
                        "record",
                        exchange.path(),
                        "request",
                        requestId,
                        "depthMillimetres",
                        120 + exchange.path().length());
        byte[] content;
        try {
            content = Exchange.JSON.writeValueAsBytes(result);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
        String responseRequestId = requestId;
        if (responsesToMislabel > 0) {
            responsesToMislabel--;
            responseRequestId = "another-" + requestId;
        }
        Map<String, String> headers = Map.of("X-Request-Id", responseRequestId);
        if (responsesToTruncate > 0) {
            responsesToTruncate--;
            exchange.replyTruncated(content, headers);
        } else {
            exchange.reply(200, content, headers);
        }
    }
}
