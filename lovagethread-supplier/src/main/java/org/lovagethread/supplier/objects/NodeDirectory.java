package org.lovagethread.supplier.objects;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lovagethread.core.store.StoreStatus;
import org.lovagethread.supplier.Json;

/** Directory of the nodes of one cell in the Object API, by which a new node discovers its peers. */
public final class NodeDirectory {
    /** Path prefix of all entries. */
    public static final String PREFIX = "nodes/";

    /** Time after which an entry expires, in milliseconds. */
    public static final long ENTRY_LIFETIME_MILLIS = 120_000;

    private final String cell;
    private final ObjectApiClient objects;

    /**
     * Creates the directory of one cell.
     *
     * @param objects the client of the Object API
     * @param cell the name of the cell
     */
    public NodeDirectory(ObjectApiClient objects, String cell) {
        this.objects = objects;
        this.cell = cell;
    }

    /**
     * Lists the entries that have not expired.
     *
     * @param nowMillis the current time in milliseconds since the epoch
     * @return the entries, or empty if the service sent no valid response
     */
    public Optional<List<NodeEntry>> list(long nowMillis) {
        return objects.list(PREFIX + cell + "/").join().map(listed -> parse(listed, nowMillis));
    }

    /**
     * Writes the entry of a node, replacing an existing entry of the same name.
     *
     * @param entry the entry
     * @return true if the service confirmed the write
     */
    public boolean register(NodeEntry entry) {
        byte[] value = StoredJson.write(entry);
        String path = PREFIX + cell + "/" + entry.node();
        long version = objects.read(path).join().version();
        return objects.write(path, version, value).join().status() == StoreStatus.WRITTEN;
    }

    /**
     * Removes the entry of a node that has stopped.
     *
     * @param node the name of the node
     */
    public void remove(String node) {
        String path = PREFIX + cell + "/" + node;
        ObjectReply reply = objects.read(path).join();
        if (reply.status() == StoreStatus.FOUND) {
            objects.remove(path, reply.version()).join();
        }
    }

    private static List<NodeEntry> parse(List<ListedObject> listed, long nowMillis) {
        List<NodeEntry> entries = new ArrayList<>();
        for (ListedObject object : listed) {
            try {
                NodeEntry entry = Json.mapper().readValue(object.value(), NodeEntry.class);
                if (nowMillis <= entry.notAfterMillis()) {
                    entries.add(entry);
                }
            } catch (JsonProcessingException e) {
                System.getLogger(NodeDirectory.class.getName())
                        .log(System.Logger.Level.WARNING, "node-entry-unreadable {0}", object.path());
            }
        }
        return entries;
    }
}
