package org.lovagethread.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/** Calls the system as a caller does: asks for an address, keeps it as long as allowed, and comes back when cut off. */
final class LoadCaller {
    private static final int MOST_TRIES = 60;
    private static final long PAUSE_MILLIS = 150;
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final String customer;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private final Map<String, Address> known = new ConcurrentHashMap<>();
    private final List<String> nodes;
    private final SplittableRandom random;
    private final LoadReport report;
    private final String session;

    LoadCaller(List<String> nodes, String customer, String session, long seed, LoadReport report) {
        this.nodes = nodes;
        this.customer = customer;
        this.session = session;
        this.random = new SplittableRandom(seed);
        this.report = report;
    }

    private record Address(List<String> addresses, long notAfterMillis) {}

    /** Asks for a stream and checks every chunk of it. */
    void generate(String service, String requestId, int tokens) throws InterruptedException {
        String prompt = "prompt of " + requestId + " ".repeat(random.nextInt(200));
        String body = "{\"prompt\":\"" + prompt + "\",\"maxTokens\":" + tokens + "}";
        StringBuilder text = new StringBuilder();
        int chunks = 0;
        String target = "";
        long startedNanos = System.nanoTime();
        for (int tries = 0; tries < MOST_TRIES; tries++) {
            target = target.isEmpty() ? address(service, tries) : target;
            HttpRequest request = request(target, "/v1/services/" + service + "/generate", requestId)
                    .header("X-Last-Chunk", Integer.toString(chunks))
                    .POST(HttpRequest.BodyPublishers.ofString(body))
                    .build();
            String current = target;
            target = "";
            try (Stream<String> lines =
                    http.send(request, HttpResponse.BodyHandlers.ofLines()).body()) {
                for (Iterator<String> it = lines.iterator(); it.hasNext(); ) {
                    JsonNode line = Exchange.JSON.readTree(it.next());
                    if (line.has("chunk")) {
                        if (chunks == 0) {
                            report.firstChunk((System.nanoTime() - startedNanos) / 1_000);
                        }
                        chunks++;
                        if (line.path("chunk").asInt() != chunks) {
                            report.problem(requestId + " expected chunk " + chunks + " but received " + line);
                        }
                        text.append(line.path("text").asText());
                    } else if (line.path("end").asBoolean()) {
                        finish(requestId, prompt, tokens, chunks, text);
                        return;
                    } else if (line.has("moved")) {
                        report.count("moved");
                        target = line.path("moved").asText();
                    } else {
                        report.count("refused " + line.path("error").asText());
                    }
                }
                if (target.isEmpty()) {
                    report.count("streamCut");
                }
            } catch (IOException | UncheckedIOException e) {
                report.count("streamCut");
                forget(service, current);
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        report.problem(requestId + " never became whole");
    }

    /** Reads a record; any number of tries is safe. */
    void read(String service, String requestId) throws InterruptedException {
        for (int tries = 0; tries < MOST_TRIES; tries++) {
            String target = address(service, tries);
            long startedNanos = System.nanoTime();
            try {
                HttpRequest request = request(target, "/v1/services/" + service + "/calls/records/r1", requestId)
                        .GET()
                        .build();
                HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
                JsonNode json = Exchange.JSON.readTree(response.body());
                if (response.statusCode() == 200) {
                    report.read((System.nanoTime() - startedNanos) / 1_000);
                    report.count("readWhole");
                    if (!json.path("request").asText().equals(requestId)) {
                        report.problem(requestId + " received another's answer: " + json);
                    }
                    return;
                }
                report.count("refused " + json.path("error").asText());
            } catch (IOException e) {
                report.count("readCut");
                forget(service, target);
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        report.problem(requestId + " never became whole");
    }

    /** Books, and repeats with the same key until the outcome is told. */
    void book(String service, String key) throws InterruptedException {
        for (int tries = 0; tries < MOST_TRIES; tries++) {
            String target = address(service, tries);
            try {
                HttpRequest request = request(target, "/v1/services/" + service + "/calls/bookings", key + "-t" + tries)
                        .header("Idempotency-Key", key)
                        .POST(HttpRequest.BodyPublishers.ofString("{\"pond\":\"" + key + "\"}"))
                        .build();
                HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
                JsonNode json = Exchange.JSON.readTree(response.body());
                if (response.statusCode() == 200) {
                    report.answered(key, json.path("booking").asText());
                    report.count("bookingAnswered");
                    return;
                }
                report.count("refused " + json.path("error").asText());
                report.refused(key, json.path("run").asText());
                if (json.path("error").asText().equals("outcome-unknown")) {
                    report.count("bookingUnknown");
                    return;
                }
            } catch (IOException e) {
                report.count("bookingCut");
                report.refused(key, "cut");
                forget(service, target);
            }
            Thread.sleep(PAUSE_MILLIS);
        }
        report.count("bookingGivenUp");
    }

    private String address(String service, int tries) throws InterruptedException {
        Address held = known.get(service);
        if (held != null && System.currentTimeMillis() < held.notAfterMillis()) {
            return held.addresses().get(tries % held.addresses().size());
        }
        while (true) {
            String node = nodes.get(random.nextInt(nodes.size()));
            String query = "?service=" + service + "&customer=" + customer + "&session=" + session;
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + node + "/v1/address" + query))
                    .timeout(Duration.ofSeconds(1))
                    .build();
            try {
                HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
                JsonNode json = Exchange.JSON.readTree(response.body());
                if (response.statusCode() == 200) {
                    List<String> addresses = Exchange.JSON.convertValue(
                            json.path("addresses"),
                            Exchange.JSON.getTypeFactory().constructCollectionType(List.class, String.class));
                    known.put(
                            service,
                            new Address(addresses, json.path("notAfterMillis").asLong()));
                    return addresses.get(0);
                }
            } catch (IOException e) {
                report.count("addressUnanswered");
            }
            Thread.sleep(PAUSE_MILLIS / 3);
        }
    }

    private void finish(String requestId, String prompt, int tokens, int chunks, StringBuilder text) {
        report.count("streamWhole");
        if (chunks != tokens || !text.toString().equals(Tokens.text(prompt, tokens))) {
            report.problem(requestId + " received a wrong text of " + chunks + " chunks, expected " + tokens);
        }
    }

    private void forget(String service, String address) {
        Address held = known.get(service);
        if (held != null && held.addresses().contains(address)) {
            known.remove(service);
        }
    }

    private HttpRequest.Builder request(String target, String path, String requestId) {
        return HttpRequest.newBuilder(URI.create("http://" + target + path))
                .timeout(TIMEOUT)
                .header("X-Request-Id", requestId)
                .header("X-Customer", customer)
                .header("Content-Type", "application/json");
    }
}
