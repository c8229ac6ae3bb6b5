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

/** Implementation of the commands that send requests to nodes. */
final class NodeCommands {

    private NodeCommands() {}

    static void address(CommandContext context) throws CliException {
        String service = context.requiredArgument(0, "SERVICE");
        String customer = context.requiredArgument(1, "CUSTOMER");
        String session = context.optionalArgument(2);
        for (NodeEntry node : context.nodeClient().listNodes()) {
            String query = "?service=" + service + "&customer=" + customer + "&session=" + session;
            URI uri = URI.create("http://" + node.address() + "/v1/address" + query);
            try {
                HttpResponse<String> response = HttpClient.newHttpClient()
                        .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
                context.print(response.body());
                return;
            } catch (IOException e) {
                context.print(node.node() + " did not respond");
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        throw new CliException(ExitCode.FAILED, "no node responded");
    }

    static void drain(CommandContext context) throws CliException {
        String name = context.requiredArgument(0, "NODE");
        NodeClient client = context.nodeClient();
        for (NodeEntry node : client.listNodes()) {
            if (node.node().equals(name)) {
                if (client.post(node, "drain").isEmpty()) {
                    throw new CliException(
                            ExitCode.UNKNOWN,
                            name + " did not respond; run \"lovagethread status\" to learn its state");
                }
                context.print(name + " stops after its unfinished calls have completed");
                return;
            }
        }
        throw new CliException(ExitCode.USAGE, "NODE: unknown node \"" + name + "\", not listed in the node directory");
    }

    static void explain(CommandContext context) throws CliException {
        String request = context.requiredArgument(0, "REQUEST-ID");
        NodeClient client = context.nodeClient();
        ArrayNode decisions = Json.mapper().createArrayNode();
        for (NodeEntry node : client.listNodes()) {
            Optional<String> text = client.get(node, "explain/" + request);
            if (text.isPresent()) {
                parseJson(text.get())
                        .forEach(decision -> decisions.add(((ObjectNode) decision).put("node", node.node())));
            }
        }
        if (context.isJsonOutput()) {
            context.printJson(decisions);
            return;
        }
        if (decisions.isEmpty()) {
            throw new CliException(ExitCode.FAILED, "no node has decisions recorded for the request " + request);
        }
        for (JsonNode decision : decisions) {
            context.print(String.format(
                    "%s  %-10s %-20s %s",
                    Instant.ofEpochMilli(decision.path("atMillis").asLong()),
                    decision.path("node").asText(),
                    decision.path("decision").asText(),
                    decision.path("detail").asText()));
        }
    }

    static void status(CommandContext context) throws CliException {
        NodeClient client = context.nodeClient();
        List<NodeEntry> nodes = client.listNodes();
        ArrayNode statuses = Json.mapper().createArrayNode();
        for (NodeEntry node : nodes) {
            Optional<JsonNode> status = client.readStatus(node);
            if (status.isPresent()) {
                statuses.add(status.get());
            } else {
                statuses.addObject()
                        .put("node", node.node())
                        .put("zone", node.zone())
                        .put("unreachable", true);
            }
        }
        if (context.isJsonOutput()) {
            context.printJson(statuses);
            return;
        }
        context.print(String.format("%-12s %-16s %-12s %-9s %s", "NODE", "ZONE", "STATE", "REVISION", "CALLS"));
        for (JsonNode status : statuses) {
            context.print(String.format(
                    "%-12s %-16s %-12s %-9s %s",
                    status.path("node").asText(),
                    status.path("zone").asText(),
                    describeState(status),
                    status.path("revision").asText("-"),
                    status.path("unfinishedCalls").asText("-")));
        }
        printUpstreams(context, statuses);
    }

    private static JsonNode parseJson(String text) throws CliException {
        try {
            return Json.mapper().readTree(text);
        } catch (IOException e) {
            throw new CliException(ExitCode.FAILED, "a node sent a response that is not valid JSON");
        }
    }

    private static void printUpstreams(CommandContext context, ArrayNode statuses) {
        context.print("");
        context.print(String.format("%-16s %-14s %-16s %s", "UPSTREAM", "SERVICE", "ZONE", "STATE"));
        Map<String, String> lines = new TreeMap<>();
        for (JsonNode status : statuses) {
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
        lines.values().forEach(context::print);
    }

    private static String describeState(JsonNode status) {
        if (status.path("unreachable").asBoolean()) {
            return "unreachable";
        }
        return status.path("stopping").asBoolean() ? "stopping" : "serving";
    }
}
