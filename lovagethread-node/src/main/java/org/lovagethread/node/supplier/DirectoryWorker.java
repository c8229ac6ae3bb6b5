package org.lovagethread.node.supplier;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagethread.core.event.Event;
import org.lovagethread.node.worker.MonotonicClock;
import org.lovagethread.node.worker.Worker;
import org.lovagethread.supplier.objects.NodeDirectory;
import org.lovagethread.supplier.objects.NodeEntry;

/** Renews the directory entry of this node and reads the addresses of its peers. */
public final class DirectoryWorker implements Worker {
    private static final long INITIAL_LIST_INTERVAL_MILLIS = 500;
    private static final int INITIAL_LISTINGS = 6;
    private static final long LIST_INTERVAL_MILLIS = 10_000;

    private final MonotonicClock clock;
    private final NodeDirectory directory;
    private final Consumer<Event> events;
    private final Consumer<List<String>> addressListener;
    private final NodeEntry self;
    private int listings;
    private long nextRegistrationMillis;

    /**
     * Creates the worker.
     *
     * @param directory the directory
     * @param self the entry of this node; its expiry time is set at each registration
     * @param clock provides the current time
     * @param events receives the events
     * @param addressListener receives the addresses of the peers
     */
    public DirectoryWorker(
            NodeDirectory directory,
            NodeEntry self,
            MonotonicClock clock,
            Consumer<Event> events,
            Consumer<List<String>> addressListener) {
        this.directory = directory;
        this.self = self;
        this.clock = clock;
        this.events = events;
        this.addressListener = addressListener;
    }

    @Override
    public String name() {
        return "directory";
    }

    @Override
    public void runIteration() throws InterruptedException {
        register();
        Optional<List<NodeEntry>> entries = directory.list(clock.millis());
        if (entries.isPresent()) {
            listings++;
            events.accept(new Event.NodesListed(
                    entries.get().stream().map(NodeEntry::node).toList()));
            addressListener.accept(entries.get().stream()
                    .filter(entry -> !entry.node().equals(self.node()))
                    .map(NodeEntry::peerAddress)
                    .toList());
        }
        Thread.sleep(listings < INITIAL_LISTINGS ? INITIAL_LIST_INTERVAL_MILLIS : LIST_INTERVAL_MILLIS);
    }

    private void register() {
        long nowMillis = clock.millis();
        if (nowMillis < nextRegistrationMillis) {
            return;
        }
        NodeEntry entry = new NodeEntry(
                self.node(),
                self.address(),
                self.peerAddress(),
                self.zone(),
                self.incarnation(),
                nowMillis + NodeDirectory.ENTRY_LIFETIME_MILLIS);
        if (directory.register(entry)) {
            nextRegistrationMillis = nowMillis + NodeDirectory.ENTRY_LIFETIME_MILLIS / 3;
        }
    }
}
