package org.lovagethread.node.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.regex.Pattern;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.call.CallRequest;
import org.lovagethread.supplier.Digests;
import org.lovagethread.supplier.Json;
import ratpack.http.Headers;

/** Parses HTTP requests into calls and rejects malformed requests. */
final class CallParser {
    static final String CLASS_HEADER = "X-Class";
    static final String CUSTOMER_HEADER = "X-Customer";
    static final String DEADLINE_HEADER = "X-Deadline-Millis";
    static final String KEY_HEADER = "Idempotency-Key";
    static final String LAST_CHUNK_HEADER = "X-Last-Chunk";
    static final String REQUEST_HEADER = "X-Request-Id";

    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z0-9._-]{1,128}");
    private static final int MAX_TOKENS = 100_000;
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
    private static final int MAX_PREFIX_CHARACTERS = 512;
    private static final Pattern TARGET =
            Pattern.compile("[A-Za-z0-9/_.~%-]{1,512}(\\?[A-Za-z0-9/_.~%&=+,:-]{0,2048})?");

    private final Headers headers;
    private final String service;
    private final long defaultDeadlineMillis;

    CallParser(Headers headers, String service, long defaultDeadlineMillis) {
        this.headers = headers;
        this.service = service;
        this.defaultDeadlineMillis = defaultDeadlineMillis;
    }

    /** Parses a model call. Returns an error message on the left if the request is malformed. */
    Either<String, CallRequest> parseGenerate(long callId, String body) {
        JsonNode json;
        try {
            json = Json.mapper().readTree(body);
        } catch (JsonProcessingException e) {
            return Either.left("body: invalid JSON");
        }
        if (json == null || !json.path("prompt").isTextual()) {
            return Either.left("body.prompt: expected a string");
        }
        int maxTokens = json.path("maxTokens").asInt(0);
        if (maxTokens < 1 || maxTokens > MAX_TOKENS) {
            return Either.left("body.maxTokens: expected an integer from 1 to " + MAX_TOKENS);
        }
        String prompt = json.path("prompt").asText();
        String prefix = prompt.substring(0, Math.min(prompt.length(), MAX_PREFIX_CHARACTERS));
        return buildRequest(CallRequest.builder(callId, CallKind.GENERATE)
                .bodyDigest(digest(body))
                .prefixKey(digest(prefix))
                .promptTokens(prompt.length() / CHARACTERS_PER_TOKEN)
                .maxTokens(maxTokens));
    }

    /** Parses a plain call: GET is a read, any other method a submission. Returns an error message on the left. */
    Either<String, CallRequest> parsePlain(long callId, String method, String target, String body) {
        if (!TARGET.matcher(target).matches() || target.contains("..")) {
            return Either.left("path: expected letters, digits and / _ . ~ % - and optionally a query");
        }
        CallKind kind = method.equals("GET") ? CallKind.READ : CallKind.SUBMIT;
        Optional<String> key = Optional.ofNullable(headers.get(KEY_HEADER));
        if (key.isPresent() && !IDENTIFIER.matcher(key.get()).matches()) {
            return Either.left(KEY_HEADER + ": expected 1 to 128 letters, digits and . _ -");
        }
        return buildRequest(CallRequest.builder(callId, kind)
                .bodyDigest(digest(target + "\n" + body))
                .idempotencyKey(key));
    }

    private Either<String, CallRequest> buildRequest(CallRequest.Builder builder) {
        String requestId = headerOrEmpty(REQUEST_HEADER);
        String customer = headerOrEmpty(CUSTOMER_HEADER);
        String className = headerOrEmpty(CLASS_HEADER);
        if (!IDENTIFIER.matcher(requestId).matches()) {
            return Either.left(REQUEST_HEADER + ": expected 1 to 128 letters, digits and . _ -");
        }
        if (!NAME.matcher(customer).matches()) {
            return Either.left(CUSTOMER_HEADER + ": expected lower-case letters, digits and hyphens");
        }
        if (!NAME.matcher(service).matches()) {
            return Either.left("service: expected lower-case letters, digits and hyphens");
        }
        if (!className.isEmpty() && !NAME.matcher(className).matches()) {
            return Either.left(CLASS_HEADER + ": expected lower-case letters, digits and hyphens");
        }
        Optional<Long> deadline = parseNonNegative(DEADLINE_HEADER, defaultDeadlineMillis);
        Optional<Long> lastChunk = parseNonNegative(LAST_CHUNK_HEADER, 0);
        if (deadline.isEmpty()) {
            return Either.left(DEADLINE_HEADER + ": expected milliseconds since the epoch");
        }
        if (lastChunk.isEmpty() || lastChunk.get() > MAX_TOKENS) {
            return Either.left(LAST_CHUNK_HEADER + ": expected an integer from 0 to " + MAX_TOKENS);
        }
        return Either.right(builder.requestId(requestId)
                .customer(customer)
                .service(service)
                .className(className)
                .deadlineMillis(deadline.get())
                .fromChunk(lastChunk.get().intValue())
                .build());
    }

    private static String digest(String text) {
        return Digests.sha256Hex(text.getBytes(StandardCharsets.UTF_8));
    }

    private String headerOrEmpty(String name) {
        String value = headers.get(name);
        return value == null ? "" : value;
    }

    private Optional<Long> parseNonNegative(String name, long defaultValue) {
        String value = headers.get(name);
        if (value == null) {
            return Optional.of(defaultValue);
        }
        try {
            long number = Long.parseLong(value);
            return number >= 0 ? Optional.of(number) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}
