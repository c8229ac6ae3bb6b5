package org.lovagethread.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.function.Consumer;

/** Port to the platform's store. Calls return at once; replies come on the thread of the gateway. */
public interface ObjectStore {

    /**
     * Part of a list of objects.
     *
     * @param objects the objects
     * @param more whether objects follow after the last one
     * @param revision the revision of the store at which the list is true
     */
    record Page(List<StoredObject> objects, boolean more, long revision) {}

    /**
     * Changes since a revision.
     *
     * @param changes the changes in order
     * @param revision the revision up to which the changes are complete
     */
    record Changes(List<Change> changes, long revision) {}

    /**
     * One change.
     *
     * @param object the object after the change, or before its removal
     * @param removed whether the object was removed
     */
    record Change(StoredObject object, boolean removed) {}

    /**
     * Lists objects.
     *
     * @param kind the kind
     * @param afterName the name after which to begin; an empty text for the first page
     * @param reply takes the reply
     */
    void list(ObjectKind kind, String afterName, Consumer<StoreReply<Page>> reply);

    /**
     * Waits for changes.
     *
     * @param kind the kind
     * @param revision the revision after which changes are wanted
     * @param waitMillis the longest wait in milliseconds
     * @param reply takes the reply
     */
    void watch(ObjectKind kind, long revision, long waitMillis, Consumer<StoreReply<Changes>> reply);

    /**
     * Reads an object.
     *
     * @param kind the kind
     * @param name the name
     * @param reply takes the reply
     */
    void read(ObjectKind kind, String name, Consumer<StoreReply<StoredObject>> reply);

    /**
     * Creates an object if there is none.
     *
     * @param kind the kind
     * @param name the name
     * @param content the content
     * @param reply takes the reply; CONFLICT comes with the object that exists
     */
    void create(ObjectKind kind, String name, JsonNode content, Consumer<StoreReply<StoredObject>> reply);

    /**
     * Replaces an object if it has the expected revision.
     *
     * @param kind the kind
     * @param expected the object as it is expected to be
     * @param content the new content
     * @param reply takes the reply; CONFLICT comes with the object as it is
     */
    void replace(ObjectKind kind, StoredObject expected, JsonNode content, Consumer<StoreReply<StoredObject>> reply);

    /**
     * Removes an object, whatever its revision.
     *
     * @param kind the kind
     * @param name the name
     * @param reply takes the reply
     */
    void remove(ObjectKind kind, String name, Consumer<StoreReply<StoredObject>> reply);
}
