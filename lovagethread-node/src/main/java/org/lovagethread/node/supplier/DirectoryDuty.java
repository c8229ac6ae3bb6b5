package org.lovagethread.node.supplier;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagethread.core.event.Event;
import org.lovagethread.node.duty.Duty;
import org.lovagethread.node.duty.NodeClock;
import org.lovagethread.supplier.objects.NodeDirectory;
import org.lovagethread.supplier.objects.NodeEntry;

/** Keeps this node's entry in the directory and learns the addresses of its peers. */
public final class DirectoryDuty implements Duty {
    private static final long FIRST_PERIOD_MILLIS = 500;
    private static final int FIRST_LISTINGS = 6;
    private static final long PERIOD_MILLIS = 10_000;

    private final NodeClock clock;
    private final NodeDirectory directory;
    private final Consumer<Event> events;
    private final Consumer<List<String>> peerAddresses;
    private final NodeEntry self;
    private int listings;
    private long registerAtMillis;

    /**
     * Creates the duty.
     *
     * @param directory the directory
     * @param self the entry of this node; its date is set at each registration
     * @param clock tells the time
     * @param events takes the events
     * @param peerAddresses takes the addresses of the peers
     */
    public DirectoryDuty(
            NodeDirectory directory,
            NodeEntry self,
            NodeClock clock,
            Consumer<Event> events,
            Consumer<List<String>> peerAddresses) {
        this.directory = directory;
        this.self = self;
        this.clock = clock;
        this.events = events;
        this.peerAddresses = peerAddresses;
    }

    @Override
    public String name() {
        return "directory";
    }

    @Override
    public void step() throws InterruptedException {
        register();
        Optional<List<NodeEntry>> listed = directory.list(clock.millis());
        if (listed.isPresent()) {
            listings++;
            events.accept(new Event.NodesListed(
                    listed.get().stream().map(NodeEntry::node).toList()));
            peerAddresses.accept(listed.get().stream()
                    .filter(entry -> !entry.node().equals(self.node()))
                    .map(NodeEntry::peerAddress)
                    .toList());
        }
        Thread.sleep(listings < FIRST_LISTINGS ? FIRST_PERIOD_MILLIS : PERIOD_MILLIS);
    }

    private void register() {
        long now = clock.millis();
        if (now < registerAtMillis) {
            return;
        }
        NodeEntry entry = new NodeEntry(
                self.node(),
                self.address(),
                self.peerAddress(),
                self.zone(),
                self.incarnation(),
                now + NodeDirectory.ENTRY_LIFETIME_MILLIS);
        if (directory.register(entry)) {
            registerAtMillis = now + NodeDirectory.ENTRY_LIFETIME_MILLIS / 3;
        }
    }
}
