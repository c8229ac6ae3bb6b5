package org.lovagethread.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An object in the store.
 *
 * @param name the name, unique within the kind of the object
 * @param revision the revision of the last change of the object
 * @param content the content; for kinds that gateways write, exactly what was written
 */
public record StoredObject(String name, long revision, JsonNode content) {}
