package org.lovagethread.core.call;

import java.util.Objects;
import java.util.Optional;
import org.lovagethread.core.Checks;

/**
 * A call as received by the node, without its body.
 *
 * @param callId the identifier of the call, unique in this process
 * @param requestId the request identifier assigned by the caller
 * @param customer the name of the customer
 * @param service the name of the requested service
 * @param kind the kind of the call, which determines whether failed attempts may be retried
 * @param className the name of the priority class, or an empty string
 * @param idempotencyKey the idempotency key; required for non-idempotent calls
 * @param bodyDigest the SHA-256 digest of the operation and body, in hexadecimal
 * @param prefixKey a digest of the prompt prefix; calls with the same value can share a prefix cache
 * @param promptTokens the estimated prompt length in tokens
 * @param maxTokens the maximum number of tokens to generate; zero for plain services
 * @param fromChunk the number of chunks that the caller has already received
 * @param deadlineMillis the time by which the call must end, in milliseconds since the epoch
 */
public record CallRequest(
        long callId,
        String requestId,
        String customer,
        String service,
        CallKind kind,
        String className,
        Optional<String> idempotencyKey,
        String bodyDigest,
        String prefixKey,
        int promptTokens,
        int maxTokens,
        int fromChunk,
        long deadlineMillis) {

    /** Validates the components. */
    public CallRequest {
        Checks.notBlank(requestId, "request id");
        Objects.requireNonNull(customer, "customer");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(className, "class name");
        Objects.requireNonNull(idempotencyKey, "idempotency key");
        Objects.requireNonNull(bodyDigest, "body digest");
        Objects.requireNonNull(prefixKey, "prefix key");
    }

    /**
     * Creates a builder.
     *
     * @param callId the identifier of the call
     * @param kind the kind of the call
     * @return a new builder
     */
    public static Builder builder(long callId, CallKind kind) {
        return new Builder(callId, kind);
    }

    /**
     * Returns a copy with another call identifier.
     *
     * @param newCallId the identifier of the call in this process
     * @return the copy
     */
    public CallRequest withCallId(long newCallId) {
        return new CallRequest(
                newCallId,
                requestId,
                customer,
                service,
                kind,
                className,
                idempotencyKey,
                bodyDigest,
                prefixKey,
                promptTokens,
                maxTokens,
                fromChunk,
                deadlineMillis);
    }

    /** Builder for {@link CallRequest}. */
    public static final class Builder {
        private final long callId;
        private final CallKind kind;
        private String requestId = "";
        private String customer = "";
        private String service = "";
        private String className = "";
        private Optional<String> idempotencyKey = Optional.empty();
        private String bodyDigest = "";
        private String prefixKey = "";
        private int promptTokens;
        private int maxTokens;
        private int fromChunk;
        private long deadlineMillis;

        private Builder(long callId, CallKind kind) {
            this.callId = callId;
            this.kind = Objects.requireNonNull(kind, "kind");
        }

        /**
         * Builds the request.
         *
         * @return the request
         * @throws IllegalArgumentException if the request id is blank
         */
        public CallRequest build() {
            return new CallRequest(
                    callId,
                    requestId,
                    customer,
                    service,
                    kind,
                    className,
                    idempotencyKey,
                    bodyDigest,
                    prefixKey,
                    promptTokens,
                    maxTokens,
                    fromChunk,
                    deadlineMillis);
        }

        /**
         * Sets the digest of the operation and body.
         *
         * @param value the digest in hexadecimal
         * @return this builder
         */
        public Builder bodyDigest(String value) {
            bodyDigest = value;
            return this;
        }

        /**
         * Sets the priority class.
         *
         * @param value the name of the class, or an empty string
         * @return this builder
         */
        public Builder className(String value) {
            className = value;
            return this;
        }

        /**
         * Sets the customer.
         *
         * @param value the name of the customer
         * @return this builder
         */
        public Builder customer(String value) {
            customer = value;
            return this;
        }

        /**
         * Sets the deadline.
         *
         * @param value milliseconds since the epoch
         * @return this builder
         */
        public Builder deadlineMillis(long value) {
            deadlineMillis = value;
            return this;
        }

        /**
         * Sets the number of chunks that the caller has already received.
         *
         * @param value zero for a new request
         * @return this builder
         */
        public Builder fromChunk(int value) {
            fromChunk = value;
            return this;
        }

        /**
         * Sets the idempotency key.
         *
         * @param value the key, or empty
         * @return this builder
         */
        public Builder idempotencyKey(Optional<String> value) {
            idempotencyKey = value;
            return this;
        }

        /**
         * Sets the maximum number of tokens to generate.
         *
         * @param value the number of tokens
         * @return this builder
         */
        public Builder maxTokens(int value) {
            maxTokens = value;
            return this;
        }

        /**
         * Sets the digest of the prompt prefix.
         *
         * @param value the digest
         * @return this builder
         */
        public Builder prefixKey(String value) {
            prefixKey = value;
            return this;
        }

        /**
         * Sets the estimated prompt length in tokens.
         *
         * @param value the number of tokens
         * @return this builder
         */
        public Builder promptTokens(int value) {
            promptTokens = value;
            return this;
        }

        /**
         * Sets the request identifier assigned by the caller.
         *
         * @param value the request id
         * @return this builder
         */
        public Builder requestId(String value) {
            requestId = value;
            return this;
        }

        /**
         * Sets the service.
         *
         * @param value the name of the service
         * @return this builder
         */
        public Builder service(String value) {
            service = value;
            return this;
        }
    }
}
