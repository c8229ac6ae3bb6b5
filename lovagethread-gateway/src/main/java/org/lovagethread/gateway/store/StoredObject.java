package org.lovagethread.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * An object of the store.
 *
 * @param name the name within its kind
 * @param revision the revision of its last change
 * @param content the content; for kinds of the gateway's own, what it wrote
 */
public record StoredObject(String name, long revision, JsonNode content) {}
