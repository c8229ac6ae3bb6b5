package org.lovagethread.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.Optional;

/**
 * An object in the store.
 *
 * @param name the name, unique within the kind of the object; empty if it cannot be read
 * @param revision the revision of the last change of the object, or its {@link StoreVersion version}
 * @param content the content; for kinds that gateways write, exactly what was written; missing if it cannot be read
 * @param defect why the object cannot be read; empty if it can
 * @param status what gateways reported about the object; missing if nothing
 */
public record StoredObject(String name, long revision, JsonNode content, Optional<String> defect, JsonNode status) {

    /**
     * Creates a readable object.
     *
     * @param name the name
     * @param revision the revision of the last change of the object
     * @param content the content
     */
    public StoredObject(String name, long revision, JsonNode content) {
        this(name, revision, content, Optional.empty(), MissingNode.getInstance());
    }

    /**
     * Creates a readable object with a status.
     *
     * @param name the name
     * @param revision the revision of the last change of the object
     * @param content the content
     * @param status what gateways reported about the object; missing if nothing
     */
    public StoredObject(String name, long revision, JsonNode content, JsonNode status) {
        this(name, revision, content, Optional.empty(), status);
    }

    /**
     * Creates an object that cannot be read.
     *
     * @param name the name; an empty string if it cannot be read either
     * @param revision the revision of the last change of the object
     * @param reason why the object cannot be read
     * @return the object
     */
    public static StoredObject unreadable(String name, long revision, String reason) {
        return new StoredObject(
                name, revision, MissingNode.getInstance(), Optional.of(reason), MissingNode.getInstance());
    }

    /**
     * Returns a copy of this object with another revision.
     *
     * @param newRevision the revision or version
     * @return the copy
     */
    public StoredObject withRevision(long newRevision) {
        return new StoredObject(name, newRevision, content, defect, status);
    }
}
