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

/** Asks the nodes of one cell over their operator interface. */
final class NodeClient {
    private static final int OK = 200;
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final String cell;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();
    private final String key;
    private final ObjectApiClient objects;

    NodeClient(ObjectApiClient objects, String cell, String key) {
        this.objects = objects;
        this.cell = cell;
        this.key = key;
    }

    /** Lists the nodes that the directory shows. */
    List<NodeEntry> nodes() throws CliException {
        return new NodeDirectory(objects, cell)
                .list(System.currentTimeMillis())
                .orElseThrow(() -> new CliException(ExitCode.FAILED, "the Object API gave no answer"));
    }

    /** Reads from a node; empty if the node gave no answer. */
    Optional<String> get(NodeEntry node, String path) {
        return send(HttpRequest.newBuilder(uri(node, path)).GET());
    }

    /** Posts to a node; empty if the node gave no answer. */
    Optional<String> post(NodeEntry node, String path) {
        return send(HttpRequest.newBuilder(uri(node, path)).POST(HttpRequest.BodyPublishers.noBody()));
    }

    /** Reads the status of a node; empty if the node gave no answer. */
    Optional<JsonNode> status(NodeEntry node) {
        return get(node, "status").flatMap(NodeClient::parse);
    }

    private static Optional<JsonNode> parse(String text) {
        try {
            return Optional.of(Json.mapper().readTree(text));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private Optional<String> send(HttpRequest.Builder request) {
        try {
            HttpResponse<String> response = http.send(
                    request.header("X-Operator-Key", key).timeout(TIMEOUT).build(),
                    HttpResponse.BodyHandlers.ofString());
            return response.statusCode() == OK ? Optional.of(response.body()) : Optional.empty();
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
