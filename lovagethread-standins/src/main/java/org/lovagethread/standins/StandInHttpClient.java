package org.lovagethread.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** HTTP client for the requests between stand-ins. */
final class StandInHttpClient {
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    private StandInHttpClient() {}

    static CompletableFuture<HttpResponse<String>> get(String uri) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(uri)).timeout(REQUEST_TIMEOUT).build();
        return CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    static CompletableFuture<HttpResponse<String>> post(String uri, Object value) {
        try {
            String body = Exchange.JSON.writeValueAsString(value);
            HttpRequest request = HttpRequest.newBuilder(URI.create(uri))
                    .timeout(REQUEST_TIMEOUT)
                    .POST(HttpRequest.BodyPublishers.ofString(body))
                    .build();
            return CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofString());
        } catch (JsonProcessingException e) {
            return CompletableFuture.failedFuture(e);
        }
    }
}
