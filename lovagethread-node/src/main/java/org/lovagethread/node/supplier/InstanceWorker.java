package org.lovagethread.node.supplier;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.upstream.UpstreamInfo;
import org.lovagethread.node.worker.Worker;
import org.lovagethread.supplier.instances.InstanceClient;

/** Polls the instance list and reports changes to the core. */
public final class InstanceWorker implements Worker {
    private static final long POLL_INTERVAL_MILLIS = 1_000;

    private final InstanceClient client;
    private final Consumer<Event> events;
    private List<UpstreamInfo> lastReported = List.of();

    /**
     * Creates the worker.
     *
     * @param client the client for the instance list
     * @param events receives the events
     */
    public InstanceWorker(InstanceClient client, Consumer<Event> events) {
        this.client = client;
        this.events = events;
    }

    @Override
    public String name() {
        return "instances";
    }

    @Override
    public void runIteration() throws InterruptedException {
        Optional<List<UpstreamInfo>> upstreams = client.fetchInstances();
        if (upstreams.isPresent() && !upstreams.get().equals(lastReported)) {
            lastReported = upstreams.get();
            events.accept(new Event.UpstreamsListed(lastReported));
        }
        Thread.sleep(POLL_INTERVAL_MILLIS);
    }
}
