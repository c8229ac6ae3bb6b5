package org.lovagethread.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stands in for the Cloud API: instances, starts that can be refused, and reclaim notices.
 *
 * <p>{@code POST /control/reclaim} takes {@code instance} or {@code zone} and {@code noticeMillis}; at the deadline the
 * instance is told to exit. {@code POST /control} takes {@code refuseStarts}.
 */
public final class CloudApi {
    private final Map<String, ObjectNode> instances = new TreeMap<>();
    private final List<ObjectNode> notices = new ArrayList<>();
    private final List<Exchange> waiting = new ArrayList<>();
    private boolean refuseStarts;

    /**
     * Handles one request.
     *
     * @param exchange the request
     */
    public void handle(Exchange exchange) {
        String route = exchange.method() + " " + exchange.path();
        switch (route) {
            case "GET /instances" -> exchange.reply(200, instances.values());
            case "POST /instances" -> register(exchange);
            case "POST /starts" -> start(exchange);
            case "GET /notices" -> notices(exchange);
            case "POST /control" -> {
                refuseStarts = exchange.json().path("refuseStarts").asBoolean(refuseStarts);
                exchange.reply(200, Map.of("ok", true));
            }
            case "POST /control/reclaim" -> reclaim(exchange);
            default -> exchange.reply(404, Map.of("error", "unknown path"));
        }
    }

    private void register(Exchange exchange) {
        ObjectNode instance = (ObjectNode) exchange.json();
        ObjectNode earlier = instances.get(instance.get("id").asText());
        instance.put("leaving", earlier != null && earlier.get("leaving").asBoolean());
        instances.put(instance.get("id").asText(), instance);
        exchange.reply(200, Map.of("ok", true));
    }

    private void start(Exchange exchange) {
        if (refuseStarts) {
            exchange.reply(409, Map.of("error", "no capacity"));
        } else {
            exchange.reply(202, Map.of("ok", true));
        }
    }

    private List<ObjectNode> noticesAfter(Exchange exchange) {
        long after = exchange.longQuery("after");
        return notices.stream()
                .filter(notice -> notice.get("sequence").asLong() > after)
                .toList();
    }

    private void notices(Exchange exchange) {
        List<ObjectNode> later = noticesAfter(exchange);
        if (!later.isEmpty()) {
            exchange.reply(200, later);
            return;
        }
        waiting.add(exchange);
        exchange.after(exchange.longQuery("waitMillis"), () -> {
            if (waiting.remove(exchange)) {
                exchange.reply(200, List.of());
            }
        });
    }

    private void reclaim(Exchange exchange) {
        JsonNode order = exchange.json();
        long noticeMillis = order.path("noticeMillis").asLong(5_000);
        long deadline = System.currentTimeMillis() + noticeMillis;
        List<String> reclaimed = new ArrayList<>();
        for (ObjectNode instance : instances.values()) {
            String id = instance.get("id").asText();
            boolean named = id.equals(order.path("instance").asText())
                    || instance.path("zone").asText().equals(order.path("zone").asText());
            if (named && !instance.get("leaving").asBoolean()) {
                reclaimed.add(id);
                instance.put("leaving", true);
                notices.add(Exchange.JSON
                        .createObjectNode()
                        .put("sequence", notices.size() + 1)
                        .put("instance", id)
                        .put("deadlineMillis", deadline));
                exchange.after(noticeMillis, () -> end(instance));
            }
        }
        List<Exchange> due = List.copyOf(waiting);
        waiting.clear();
        due.forEach(waiter -> waiter.reply(200, noticesAfter(waiter)));
        exchange.reply(200, Map.of("reclaimed", reclaimed, "deadlineMillis", deadline));
    }

    private void end(ObjectNode instance) {
        instances.remove(instance.get("id").asText());
        HttpCalls.post("http://" + instance.get("address").asText() + "/control", Map.of("exit", true));
    }
}
