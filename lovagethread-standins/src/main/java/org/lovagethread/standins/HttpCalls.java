package org.lovagethread.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Sends the requests that stand-ins make to each other. */
final class HttpCalls {
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private HttpCalls() {}

    static CompletableFuture<HttpResponse<String>> get(String uri) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(uri)).timeout(TIMEOUT).build();
        return CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    static CompletableFuture<HttpResponse<String>> post(String uri, Object value) {
        try {
            String body = Exchange.JSON.writeValueAsString(value);
            HttpRequest request = HttpRequest.newBuilder(URI.create(uri))
                    .timeout(TIMEOUT)
                    .POST(HttpRequest.BodyPublishers.ofString(body))
                    .build();
            return CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofString());
        } catch (JsonProcessingException e) {
            return CompletableFuture.failedFuture(e);
        }
    }
}
