package org.lovagethread.gateway.config;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
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
}
