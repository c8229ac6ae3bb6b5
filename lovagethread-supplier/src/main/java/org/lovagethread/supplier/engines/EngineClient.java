package org.lovagethread.supplier.engines;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.lovagethread.core.lease.OrderOutcome;
import org.lovagethread.supplier.Json;

/** HTTP client that sends orders to model engines. */
public final class EngineClient {
    private static final int HTTP_CONFLICT = 409;
    private static final int HTTP_OK = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    /**
     * Orders an engine to load a model version.
     *
     * @param address the host and port of the engine
     * @param fencingToken the fencing token of the lease
     * @param version the model and version, as {@code model@version}
     * @return the outcome of the order
     */
    public OrderOutcome load(String address, long fencingToken, String version) {
        ObjectNode body = Json.mapper()
                .createObjectNode()
                .put("fence", fencingToken)
                .put("order", "load")
                .put("version", version);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/v1/orders"))
                .timeout(TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(body.toString()))
                .build();
        try {
            int status =
                    http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
            if (status == HTTP_CONFLICT) {
                return OrderOutcome.FENCED;
            }
            return status == HTTP_OK ? OrderOutcome.TAKEN : OrderOutcome.NO_ANSWER;
        } catch (IOException e) {
            return OrderOutcome.NO_ANSWER;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return OrderOutcome.NO_ANSWER;
        }
    }
}
