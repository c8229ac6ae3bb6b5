package org.lovagethread.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.lovagethread.supplier.Json;
import org.lovagethread.supplier.objects.NodeDirectory;
import org.lovagethread.supplier.objects.NodeEntry;
import org.lovagethread.supplier.objects.ObjectApiClient;

/** HTTP client for the operator interface of the nodes of one cell. */
final class NodeClient {
    private static final int HTTP_OK = 200;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    private final String cell;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(REQUEST_TIMEOUT)
            .build();
    private final String operatorKey;
    private final ObjectApiClient objectApi;

    NodeClient(ObjectApiClient objectApi, String cell, String operatorKey) {
        this.objectApi = objectApi;
        this.cell = cell;
        this.operatorKey = operatorKey;
    }

    /**
     * Returns the nodes that are registered in the node directory.
     *
     * @return the directory entries
     * @throws CliException if the Object API does not respond
     */
    List<NodeEntry> listNodes() throws CliException {
        return new NodeDirectory(objectApi, cell)
                .list(System.currentTimeMillis())
                .orElseThrow(() -> new CliException(ExitCode.FAILED, "the Object API did not respond"));
    }

    /** Sends a GET request to a node. Returns the response body, or empty if the node sent no successful response. */
    Optional<String> get(NodeEntry node, String path) {
        return send(HttpRequest.newBuilder(uri(node, path)).GET());
    }

    /** Sends a POST request to a node. Returns the response body, or empty if the node sent no successful response. */
    Optional<String> post(NodeEntry node, String path) {
        return send(HttpRequest.newBuilder(uri(node, path)).POST(HttpRequest.BodyPublishers.noBody()));
    }

    /** Reads the status of a node. Returns empty if the node sent no successful response, or a body that is not JSON. */
    Optional<JsonNode> readStatus(NodeEntry node) {
        return get(node, "status").flatMap(NodeClient::parseJson);
    }

    private static Optional<JsonNode> parseJson(String text) {
        try {
            return Optional.of(Json.mapper().readTree(text));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private Optional<String> send(HttpRequest.Builder request) {
        try {
            HttpResponse<String> response = http.send(
                    request.header("X-Operator-Key", operatorKey)
                            .timeout(REQUEST_TIMEOUT)
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == HTTP_OK ? Optional.of(response.body()) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }

    private static URI uri(NodeEntry node, String path) {
        return URI.create("http://" + node.address() + "/v1/operator/" + path);
    }
}
