package org.lovagethread.supplier.instances;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.lovagethread.core.upstream.UpstreamInfo;
import org.lovagethread.supplier.Json;

/** HTTP client of the instance list and of the reclaim notices of the Cloud API. */
public final class InstanceClient {
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final int HTTP_OK = 200;

    private final URI cloudApi;
    private final HttpClient http;
    private final URI instanceList;

    /**
     * Creates a client.
     *
     * @param instanceList the base address of the instance list service
     * @param cloudApi the base address of the Cloud API
     */
    public InstanceClient(URI instanceList, URI cloudApi) {
        this.instanceList = instanceList;
        this.cloudApi = cloudApi;
        this.http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(TIMEOUT_MILLIS))
                .build();
    }

    /**
     * Reads the instance list.
     *
     * @return the instances, or empty if the service sent no valid response
     */
    public Optional<List<UpstreamInfo>> fetchInstances() {
        return fetch(instanceList.resolve("/instances"), TIMEOUT_MILLIS, new TypeReference<>() {});
    }

    /**
     * Waits for new reclaim notices by long polling.
     *
     * @param afterSequence the sequence number of the last notice received
     * @param waitMillis the maximum time to wait, in milliseconds
     * @return the notices with higher sequence numbers, or empty if the service sent no valid response
     */
    public Optional<List<ReclaimNotice>> awaitNotices(long afterSequence, long waitMillis) {
        URI uri = cloudApi.resolve("/notices?after=" + afterSequence + "&waitMillis=" + waitMillis);
        return fetch(uri, waitMillis + TIMEOUT_MILLIS, new TypeReference<>() {});
    }

    private <T> Optional<T> fetch(URI uri, long timeoutMillis, TypeReference<T> type) {
        HttpRequest request = HttpRequest.newBuilder(uri)
                .timeout(Duration.ofMillis(timeoutMillis))
                .GET()
                .build();
        try {
            HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
            return response.statusCode() == HTTP_OK
                    ? Optional.of(Json.mapper().readValue(response.body(), type))
                    : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        }
    }
}
