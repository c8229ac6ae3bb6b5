package org.lovagethread.node.supplier;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.upstream.UpstreamInfo;
import org.lovagethread.node.duty.Duty;
import org.lovagethread.supplier.instances.InstanceClient;

/** Reads the instance list again and again, and tells the core about changes. */
public final class InstanceDuty implements Duty {
    private static final long PERIOD_MILLIS = 1_000;

    private final InstanceClient client;
    private final Consumer<Event> events;
    private List<UpstreamInfo> known = List.of();

    /**
     * Creates the duty.
     *
     * @param client reads the list
     * @param events takes the events
     */
    public InstanceDuty(InstanceClient client, Consumer<Event> events) {
        this.client = client;
        this.events = events;
    }

    @Override
    public String name() {
        return "instances";
    }

    @Override
    public void step() throws InterruptedException {
        Optional<List<UpstreamInfo>> listed = client.fetchInstances();
        if (listed.isPresent() && !listed.get().equals(known)) {
            known = listed.get();
            events.accept(new Event.UpstreamsListed(known));
        }
        Thread.sleep(PERIOD_MILLIS);
    }
}
