package org.lovagethread.supplier.objects;

import com.fasterxml.jackson.core.type.TypeReference;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.lovagethread.core.store.StoreStatus;
import org.lovagethread.supplier.Json;

/**
 * HTTP client of the Object API.
 *
 * <p>Failures of the service are reported as a status and never as an exception. A write without a response is reported
 * as {@link StoreStatus#NO_ANSWER}, since it may have taken effect.
 */
public final class ObjectApiClient {
    /** Time-out of an operation, in milliseconds. */
    public static final long TIMEOUT_MILLIS = 1_000;

    private static final int HTTP_PRECONDITION_FAILED = 412;
    private static final int HTTP_NOT_FOUND = 404;
    private static final int HTTP_OK = 200;
    private static final int HTTP_UNAVAILABLE = 503;

    private final URI base;
    private final HttpClient http;

    /**
     * Creates a client.
     *
     * @param base the base address of the service, for example {@code http://127.0.0.1:7000}
     */
    public ObjectApiClient(URI base) {
        this.base = Objects.requireNonNull(base, "base");
        this.http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(TIMEOUT_MILLIS))
                .build();
    }

    /**
     * Reads an object.
     *
     * @param path the path of the object
     * @return {@link StoreStatus#FOUND} with the value, MISSING, REJECTED or NO_ANSWER
     */
    public CompletableFuture<ObjectReply> read(String path) {
        HttpRequest request = request("/objects/" + path, TIMEOUT_MILLIS).GET().build();
        return send(request, StoreStatus.FOUND);
    }

    /**
     * Deletes an object if it has the expected version.
     *
     * @param path the path of the object
     * @param expectedVersion the version that the stored object must have
     * @return WRITTEN, CONFLICT, MISSING, REJECTED or NO_ANSWER
     */
    public CompletableFuture<ObjectReply> remove(String path, long expectedVersion) {
        HttpRequest request = request("/objects/" + path, TIMEOUT_MILLIS)
                .header("If-Match", quote(expectedVersion))
                .DELETE()
                .build();
        return send(request, StoreStatus.WRITTEN);
    }

    /**
     * Lists the objects whose paths start with a prefix.
     *
     * @param prefix the path prefix
     * @return the objects, or empty if the service sent no valid response
     */
    public CompletableFuture<Optional<List<ListedObject>>> list(String prefix) {
        HttpRequest request = request("/list/" + prefix, TIMEOUT_MILLIS).GET().build();
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .thenApply(ObjectApiClient::parseListing)
                .exceptionally(failure -> Optional.empty());
    }

    /**
     * Waits by long polling until an object has a version other than the given one.
     *
     * @param path the path of the object
     * @param knownVersion the version that the caller already has; zero if none
     * @param waitMillis the maximum time to wait, in milliseconds
     * @return the stored object when it changes or the wait ends, or the status of the failure
     */
    public CompletableFuture<ObjectReply> watch(String path, long knownVersion, long waitMillis) {
        String query = "?after=" + knownVersion + "&waitMillis=" + waitMillis;
        HttpRequest request = request("/watch/" + path + query, waitMillis + TIMEOUT_MILLIS)
                .GET()
                .build();
        return send(request, StoreStatus.FOUND);
    }

    /**
     * Writes an object if it has the expected version.
     *
     * @param path the path of the object
     * @param expectedVersion the version that the stored object must have; zero if the object must not exist
     * @param value the bytes to store
     * @return WRITTEN, CONFLICT with the stored object, REJECTED or NO_ANSWER
     */
    public CompletableFuture<ObjectReply> write(String path, long expectedVersion, byte[] value) {
        HttpRequest.Builder request = request("/objects/" + path, TIMEOUT_MILLIS);
        if (expectedVersion == 0) {
            request.header("If-None-Match", "*");
        } else {
            request.header("If-Match", quote(expectedVersion));
        }
        request.PUT(HttpRequest.BodyPublishers.ofByteArray(value));
        return send(request.build(), StoreStatus.WRITTEN);
    }

    private HttpRequest.Builder request(String path, long timeoutMillis) {
        return HttpRequest.newBuilder(base.resolve(path)).timeout(Duration.ofMillis(timeoutMillis));
    }

    private CompletableFuture<ObjectReply> send(HttpRequest request, StoreStatus success) {
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .thenApply(response -> toReply(response, success))
                .exceptionally(ObjectApiClient::toFailureReply);
    }

    private static ObjectReply toFailureReply(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean notSent = cause instanceof ConnectException;
        return ObjectReply.of(notSent ? StoreStatus.REJECTED : StoreStatus.NO_ANSWER);
    }

    private static Optional<List<ListedObject>> parseListing(HttpResponse<byte[]> response) {
        if (response.statusCode() != HTTP_OK) {
            return Optional.empty();
        }
        try {
            return Optional.of(Json.mapper().readValue(response.body(), new TypeReference<List<ListedObject>>() {}));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static String quote(long version) {
        return "\"" + version + "\"";
    }

    private static ObjectReply toReply(HttpResponse<byte[]> response, StoreStatus success) {
        return switch (response.statusCode()) {
            case HTTP_OK -> new ObjectReply(success, parseVersion(response), Optional.of(response.body()));
            case HTTP_PRECONDITION_FAILED -> toConflictReply(response);
            case HTTP_NOT_FOUND -> ObjectReply.of(StoreStatus.MISSING);
            case HTTP_UNAVAILABLE -> ObjectReply.of(StoreStatus.REJECTED);
            default -> ObjectReply.of(StoreStatus.NO_ANSWER);
        };
    }

    private static ObjectReply toConflictReply(HttpResponse<byte[]> response) {
        long version = parseVersion(response);
        Optional<byte[]> stored = version == 0 ? Optional.empty() : Optional.of(response.body());
        return new ObjectReply(StoreStatus.CONFLICT, version, stored);
    }

    private static long parseVersion(HttpResponse<byte[]> response) {
        return response.headers()
                .firstValue("ETag")
                .map(tag -> tag.replace("\"", ""))
                .map(Long::parseLong)
                .orElse(0L);
    }
}
