package org.lovagethread.gateway.config;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.Optional;
import org.lovagethread.gateway.rollout.RolloutOrder;
import org.lovagethread.gateway.rollout.RolloutStage;
import org.lovagethread.gateway.store.StoredObject;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** Port that decodes the objects that operators and upstreams write to the store. */
public interface ConfigurationDecoder {

    /**
     * Decodes a configuration.
     *
     * @param content the content of the object
     * @return the configuration, or the reason why it is invalid
     */
    Either<String, GatewayConfiguration> decodeConfiguration(JsonNode content);

    /**
     * Decodes the registration of an upstream.
     *
     * @param object the object
     * @return the entry, or the reason why it does not describe a usable upstream
     */
    Either<String, UpstreamEntry> decodeUpstream(StoredObject object);

    /**
     * Decodes the order for a rollout.
     *
     * @param object the object
     * @return the order, or the reason why it is invalid
     */
    default Either<String, RolloutOrder> decodeRollout(StoredObject object) {
        return Either.left("rollouts are not supported");
    }

    /**
     * Encodes the status of an order.
     *
     * @param target the version to which the traffic is to be moved
     * @param end the final stage, or empty while the rollout runs
     * @return the status
     */
    default JsonNode encodeRolloutStatus(String target, Optional<RolloutStage> end) {
        throw new UnsupportedOperationException("rollouts are not supported");
    }
}
