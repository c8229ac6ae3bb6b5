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

/**
 * A load-generating client that behaves like a caller: it resolves the address of a service, caches the result for its
 * lifetime, and retries when a connection fails.
 */
final class LoadCaller {
    private static final int MAX_ATTEMPTS = 60;
    private static final long RETRY_DELAY_MILLIS = 150;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);

    private final String customer;
    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(1))
            .build();
    private final Map<String, ResolvedAddresses> resolvedAddresses = new ConcurrentHashMap<>();
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

    private record ResolvedAddresses(List<String> addresses, long notAfterMillis) {}

    /** Requests a stream, resumes it after interruptions and verifies every chunk. */
    void generate(String service, String requestId, int tokens) throws InterruptedException {
        String prompt = "prompt of " + requestId + " ".repeat(random.nextInt(200));
        String body = "{\"prompt\":\"" + prompt + "\",\"maxTokens\":" + tokens + "}";
        StringBuilder text = new StringBuilder();
        int chunks = 0;
        String target = "";
        long startedNanos = System.nanoTime();
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            target = target.isEmpty() ? resolveAddress(service, attempt) : target;
            HttpRequest request = requestBuilder(target, "/v1/services/" + service + "/generate", requestId)
                    .header("X-Last-Chunk", Integer.toString(chunks))
                    .POST(HttpRequest.BodyPublishers.ofString(body))
                    .build();
            String usedAddress = target;
            target = "";
            try (Stream<String> lines =
                    http.send(request, HttpResponse.BodyHandlers.ofLines()).body()) {
                for (Iterator<String> iterator = lines.iterator(); iterator.hasNext(); ) {
                    JsonNode line = Exchange.JSON.readTree(iterator.next());
                    if (line.has("chunk")) {
                        if (chunks == 0) {
                            report.recordFirstChunkLatency((System.nanoTime() - startedNanos) / 1_000);
                        }
                        chunks++;
                        if (line.path("chunk").asInt() != chunks) {
                            report.recordProblem(requestId + " expected chunk " + chunks + " but received " + line);
                        }
                        text.append(line.path("text").asText());
                    } else if (line.path("end").asBoolean()) {
                        verifyStream(requestId, prompt, tokens, chunks, text);
                        return;
                    } else if (line.has("moved")) {
                        report.increment("moved");
                        target = line.path("moved").asText();
                    } else {
                        report.increment("refused " + line.path("error").asText());
                    }
                }
                if (target.isEmpty()) {
                    report.increment("streamCut");
                }
            } catch (IOException | UncheckedIOException e) {
                report.increment("streamCut");
                invalidateAddress(service, usedAddress);
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
        report.recordProblem(requestId + " did not complete within the maximum number of attempts");
    }

    /** Reads a record. A read has no side effects, so it is retried after every failure. */
    void read(String service, String requestId) throws InterruptedException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            String target = resolveAddress(service, attempt);
            long startedNanos = System.nanoTime();
            try {
                HttpRequest request = requestBuilder(target, "/v1/services/" + service + "/calls/records/r1", requestId)
                        .GET()
                        .build();
                HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
                JsonNode json = Exchange.JSON.readTree(response.body());
                if (response.statusCode() == 200) {
                    report.recordReadLatency((System.nanoTime() - startedNanos) / 1_000);
                    report.increment("readWhole");
                    if (!json.path("request").asText().equals(requestId)) {
                        report.recordProblem(requestId + " received the response to another request: " + json);
                    }
                    return;
                }
                report.increment("refused " + json.path("error").asText());
            } catch (IOException e) {
                report.increment("readCut");
                invalidateAddress(service, target);
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
        report.recordProblem(requestId + " did not complete within the maximum number of attempts");
    }

    /** Makes a booking, and retries with the same idempotency key until the outcome is known. */
    void book(String service, String key) throws InterruptedException {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            String target = resolveAddress(service, attempt);
            try {
                HttpRequest request = requestBuilder(
                                target, "/v1/services/" + service + "/calls/bookings", key + "-t" + attempt)
                        .header("Idempotency-Key", key)
                        .POST(HttpRequest.BodyPublishers.ofString("{\"pond\":\"" + key + "\"}"))
                        .build();
                HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
                JsonNode json = Exchange.JSON.readTree(response.body());
                if (response.statusCode() == 200) {
                    report.recordBooking(key, json.path("booking").asText());
                    report.increment("bookingAnswered");
                    return;
                }
                report.increment("refused " + json.path("error").asText());
                report.recordRefusal(key, json.path("run").asText());
                if (json.path("error").asText().equals("outcome-unknown")) {
                    report.increment("bookingUnknown");
                    return;
                }
            } catch (IOException e) {
                report.increment("bookingCut");
                report.recordRefusal(key, "cut");
                invalidateAddress(service, target);
            }
            Thread.sleep(RETRY_DELAY_MILLIS);
        }
        report.increment("bookingGivenUp");
    }

    private String resolveAddress(String service, int attempt) throws InterruptedException {
        ResolvedAddresses cached = resolvedAddresses.get(service);
        if (cached != null && System.currentTimeMillis() < cached.notAfterMillis()) {
            return cached.addresses().get(attempt % cached.addresses().size());
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
                    resolvedAddresses.put(
                            service,
                            new ResolvedAddresses(
                                    addresses, json.path("notAfterMillis").asLong()));
                    return addresses.get(0);
                }
            } catch (IOException e) {
                report.increment("addressUnanswered");
            }
            Thread.sleep(RETRY_DELAY_MILLIS / 3);
        }
    }

    private void verifyStream(String requestId, String prompt, int tokens, int chunks, StringBuilder text) {
        report.increment("streamWhole");
        if (chunks != tokens || !text.toString().equals(TokenGenerator.text(prompt, tokens))) {
            report.recordProblem(
                    requestId + " received an incorrect text of " + chunks + " chunks, expected " + tokens);
        }
    }

    private void invalidateAddress(String service, String address) {
        ResolvedAddresses cached = resolvedAddresses.get(service);
        if (cached != null && cached.addresses().contains(address)) {
            resolvedAddresses.remove(service);
        }
    }

    private HttpRequest.Builder requestBuilder(String target, String path, String requestId) {
        return HttpRequest.newBuilder(URI.create("http://" + target + path))
                .timeout(REQUEST_TIMEOUT)
                .header("X-Request-Id", requestId)
                .header("X-Customer", customer)
                .header("Content-Type", "application/json");
    }
}
