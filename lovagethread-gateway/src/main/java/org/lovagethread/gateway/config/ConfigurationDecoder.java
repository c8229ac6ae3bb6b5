package org.lovagethread.gateway.config;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.lovagethread.gateway.store.StoredObject;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** Port that decodes what operators and upstreams write to the store. */
public interface ConfigurationDecoder {

    /**
     * Decodes a configuration.
     *
     * @param content the content of the object
     * @return the configuration, or why it cannot be read
     */
    Either<String, GatewayConfiguration> configuration(JsonNode content);

    /**
     * Decodes what an upstream says of itself.
     *
     * @param object the object
     * @return the entry, or why it names no upstream to use
     */
    Either<String, UpstreamEntry> upstream(StoredObject object);
}
