package org.lovagethread.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Simulates the Cloud API: the instance inventory, requests to start instances, and reclaim notices.
 *
 * <p>{@code POST /control/reclaim} accepts {@code instance} or {@code zone}, and {@code noticeMillis}; when the notice
 * period ends, the instance is removed and sent a request to exit. {@code POST /control} accepts {@code refuseStarts},
 * which rejects requests to start instances.
 */
public final class CloudApi {
    private final Map<String, ObjectNode> instances = new TreeMap<>();
    private final List<ObjectNode> notices = new ArrayList<>();
    private final List<Exchange> pendingPolls = new ArrayList<>();
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
            case "POST /instances" -> handleRegister(exchange);
            case "POST /starts" -> handleStart(exchange);
            case "GET /notices" -> notices(exchange);
            case "POST /control" -> {
                refuseStarts = exchange.jsonBody().path("refuseStarts").asBoolean(refuseStarts);
                exchange.reply(200, Map.of("ok", true));
            }
            case "POST /control/reclaim" -> handleReclaim(exchange);
            default -> exchange.reply(404, Map.of("error", "unknown path"));
        }
    }

    private void handleRegister(Exchange exchange) {
        ObjectNode instance = (ObjectNode) exchange.jsonBody();
        ObjectNode previous = instances.get(instance.get("id").asText());
        instance.put("leaving", previous != null && previous.get("leaving").asBoolean());
        instances.put(instance.get("id").asText(), instance);
        exchange.reply(200, Map.of("ok", true));
    }

    private void handleStart(Exchange exchange) {
        if (refuseStarts) {
            exchange.reply(409, Map.of("error", "no capacity"));
        } else {
            exchange.reply(202, Map.of("ok", true));
        }
    }

    private List<ObjectNode> noticesAfter(Exchange exchange) {
        long after = exchange.longQueryParameter("after");
        return notices.stream()
                .filter(notice -> notice.get("sequence").asLong() > after)
                .toList();
    }

    private void notices(Exchange exchange) {
        List<ObjectNode> newNotices = noticesAfter(exchange);
        if (!newNotices.isEmpty()) {
            exchange.reply(200, newNotices);
            return;
        }
        pendingPolls.add(exchange);
        exchange.schedule(exchange.longQueryParameter("waitMillis"), () -> {
            if (pendingPolls.remove(exchange)) {
                exchange.reply(200, List.of());
            }
        });
    }

    private void handleReclaim(Exchange exchange) {
        JsonNode reclaimRequest = exchange.jsonBody();
        long noticeMillis = reclaimRequest.path("noticeMillis").asLong(5_000);
        long deadlineMillis = System.currentTimeMillis() + noticeMillis;
        List<String> reclaimed = new ArrayList<>();
        for (ObjectNode instance : instances.values()) {
            String id = instance.get("id").asText();
            boolean selected = id.equals(reclaimRequest.path("instance").asText())
                    || instance.path("zone")
                            .asText()
                            .equals(reclaimRequest.path("zone").asText());
            if (selected && !instance.get("leaving").asBoolean()) {
                reclaimed.add(id);
                instance.put("leaving", true);
                notices.add(Exchange.JSON
                        .createObjectNode()
                        .put("sequence", notices.size() + 1)
                        .put("instance", id)
                        .put("deadlineMillis", deadlineMillis));
                exchange.schedule(noticeMillis, () -> terminate(instance));
            }
        }
        List<Exchange> polls = List.copyOf(pendingPolls);
        pendingPolls.clear();
        polls.forEach(poll -> poll.reply(200, noticesAfter(poll)));
        exchange.reply(200, Map.of("reclaimed", reclaimed, "deadlineMillis", deadlineMillis));
    }

    private void terminate(ObjectNode instance) {
        instances.remove(instance.get("id").asText());
        StandInHttpClient.post("http://" + instance.get("address").asText() + "/control", Map.of("exit", true));
    }
}
