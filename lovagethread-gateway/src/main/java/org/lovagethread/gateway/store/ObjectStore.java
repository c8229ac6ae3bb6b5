package org.lovagethread.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Asynchronous client of the platform's object store. Replies are delivered on the event loop of the gateway.
 *
 * <p>The platform's client returns revisions; through an {@link EraStore} they are {@link StoreVersion versions}.
 */
public interface ObjectStore {

    /**
     * One page of a list of objects.
     *
     * @param objects the objects
     * @param hasMore whether further pages follow
     * @param revision the revision of the store that the page reflects
     */
    record Page(List<StoredObject> objects, boolean hasMore, long revision) {
        /**
         * Returns the name after which the next page starts.
         *
         * @param afterName the name after which this page started; an empty string for the first page
         * @return the last name on this page; empty if no page follows, or none can be requested without a new name
         */
        public Optional<String> nextAfter(String afterName) {
            if (!hasMore) {
                return Optional.empty();
            }
            return objects.stream()
                    .map(StoredObject::name)
                    .filter(name -> !name.isEmpty())
                    .reduce((earlier, later) -> later)
                    .filter(name -> !name.equals(afterName));
        }
    }

    /**
     * The changes since a revision.
     *
     * @param changes the changes in the order of their revisions
     * @param revision the revision up to which the changes are complete
     */
    record Changes(List<Change> changes, long revision) {}

    /**
     * A change of one object.
     *
     * @param object the object after the change, or the last state of a removed object
     * @param isRemoved whether the object was removed
     */
    record Change(StoredObject object, boolean isRemoved) {}

    /**
     * Lists the objects of a kind, one page per call.
     *
     * @param kind the kind
     * @param afterName the name after which the page starts; an empty string for the first page
     * @param reply receives the reply
     */
    void list(ObjectKind kind, String afterName, Consumer<StoreReply<Page>> reply);

    /**
     * Waits for changes of objects of a kind.
     *
     * @param kind the kind
     * @param revision the revision after which changes are returned
     * @param waitMillis the maximum wait in milliseconds
     * @param reply receives the reply
     */
    void watch(ObjectKind kind, long revision, long waitMillis, Consumer<StoreReply<Changes>> reply);

    /**
     * Reads an object.
     *
     * @param kind the kind
     * @param name the name
     * @param reply receives the reply
     */
    void read(ObjectKind kind, String name, Consumer<StoreReply<StoredObject>> reply);

    /**
     * Creates an object if it does not exist.
     *
     * @param kind the kind
     * @param name the name
     * @param content the content
     * @param reply receives the reply; CONFLICT carries the existing object
     */
    void create(ObjectKind kind, String name, JsonNode content, Consumer<StoreReply<StoredObject>> reply);

    /**
     * Replaces an object if it has the expected revision.
     *
     * @param kind the kind
     * @param expected the object in its expected state
     * @param content the new content
     * @param reply receives the reply; CONFLICT carries the object in its current state
     */
    void replace(ObjectKind kind, StoredObject expected, JsonNode content, Consumer<StoreReply<StoredObject>> reply);

    /**
     * Replaces the status of an object if it has the expected revision. The content does not change.
     *
     * @param kind the kind
     * @param expected the object in its expected state
     * @param status the new status
     * @param reply receives the reply; CONFLICT carries the object in its current state
     */
    void replaceStatus(
            ObjectKind kind, StoredObject expected, JsonNode status, Consumer<StoreReply<StoredObject>> reply);

    /**
     * Removes an object regardless of its revision.
     *
     * @param kind the kind
     * @param name the name
     * @param reply receives the reply
     */
    void remove(ObjectKind kind, String name, Consumer<StoreReply<StoredObject>> reply);
}
