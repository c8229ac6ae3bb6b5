package org.lovagethread.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lovagethread.supplier.Json;
import org.lovagethread.supplier.objects.NodeEntry;

/** Implements the commands that ask nodes. */
final class NodeCommands {

    private NodeCommands() {}

    static void address(Invocation invocation) throws CliException {
        String service = invocation.argument(0, "SERVICE");
        String customer = invocation.argument(1, "CUSTOMER");
        String session = invocation.optionalArgument(2);
        for (NodeEntry node : invocation.nodes().nodes()) {
            String query = "?service=" + service + "&customer=" + customer + "&session=" + session;
            URI uri = URI.create("http://" + node.address() + "/v1/address" + query);
            try {
                HttpResponse<String> response = HttpClient.newHttpClient()
                        .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
                invocation.print(response.body());
                return;
            } catch (IOException e) {
                invocation.print(node.node() + " gave no answer");
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        throw new CliException(ExitCode.FAILED, "no node gave an answer");
    }

    static void drain(Invocation invocation) throws CliException {
        String name = invocation.argument(0, "NODE");
        NodeClient client = invocation.nodes();
        for (NodeEntry node : client.nodes()) {
            if (node.node().equals(name)) {
                if (client.post(node, "drain").isEmpty()) {
                    throw new CliException(ExitCode.UNKNOWN, name + " gave no answer; see status");
                }
                invocation.print(name + " stops once its work has ended");
                return;
            }
        }
        throw new CliException(ExitCode.USAGE, "NODE: found \"" + name + "\", which is not in the directory");
    }

    static void explain(Invocation invocation) throws CliException {
        String request = invocation.argument(0, "REQUEST-ID");
        NodeClient client = invocation.nodes();
        ArrayNode found = Json.mapper().createArrayNode();
        for (NodeEntry node : client.nodes()) {
            Optional<String> text = client.get(node, "explain/" + request);
            if (text.isPresent()) {
                parse(text.get()).forEach(decision -> found.add(((ObjectNode) decision).put("node", node.node())));
            }
        }
        if (invocation.json()) {
            invocation.printJson(found);
            return;
        }
        if (found.isEmpty()) {
            throw new CliException(ExitCode.FAILED, "no node remembers the request " + request);
        }
        for (JsonNode decision : found) {
            invocation.print(String.format(
                    "%s  %-10s %-20s %s",
                    Instant.ofEpochMilli(decision.path("atMillis").asLong()),
                    decision.path("node").asText(),
                    decision.path("decision").asText(),
                    decision.path("detail").asText()));
        }
    }

    static void status(Invocation invocation) throws CliException {
        NodeClient client = invocation.nodes();
        List<NodeEntry> nodes = client.nodes();
        ArrayNode all = Json.mapper().createArrayNode();
        for (NodeEntry node : nodes) {
            Optional<JsonNode> status = client.status(node);
            if (status.isPresent()) {
                all.add(status.get());
            } else {
                all.addObject()
                        .put("node", node.node())
                        .put("zone", node.zone())
                        .put("unreachable", true);
            }
        }
        if (invocation.json()) {
            invocation.printJson(all);
            return;
        }
        invocation.print(String.format("%-12s %-16s %-12s %-9s %s", "NODE", "ZONE", "STATE", "REVISION", "CALLS"));
        for (JsonNode status : all) {
            invocation.print(String.format(
                    "%-12s %-16s %-12s %-9s %s",
                    status.path("node").asText(),
                    status.path("zone").asText(),
                    state(status),
                    status.path("revision").asText("-"),
                    status.path("unfinishedCalls").asText("-")));
        }
        printUpstreams(invocation, all);
    }

    private static JsonNode parse(String text) throws CliException {
        try {
            return Json.mapper().readTree(text);
        } catch (IOException e) {
            throw new CliException(ExitCode.FAILED, "a node gave an unreadable answer");
        }
    }

    private static void printUpstreams(Invocation invocation, ArrayNode all) {
        invocation.print("");
        invocation.print(String.format("%-16s %-14s %-16s %s", "UPSTREAM", "SERVICE", "ZONE", "STATE"));
        Map<String, String> lines = new TreeMap<>();
        for (JsonNode status : all) {
            for (JsonNode upstream : status.path("upstreams")) {
                String id = upstream.path("id").asText();
                boolean leaving = upstream.path("leaving").asBoolean();
                String line = String.format(
                        "%-16s %-14s %-16s %s",
                        id,
                        upstream.path("service").asText(),
                        upstream.path("zone").asText(),
                        leaving ? "leaving" : "live");
                if (leaving || !lines.containsKey(id)) {
                    lines.put(id, line);
                }
            }
        }
        lines.values().forEach(invocation::print);
    }

    private static String state(JsonNode status) {
        if (status.path("unreachable").asBoolean()) {
            return "unreachable";
        }
        return status.path("stopping").asBoolean() ? "stopping" : "serving";
    }
}
