package org.lovagethread.node.supplier;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagethread.core.event.Event;
import org.lovagethread.node.worker.Worker;
import org.lovagethread.supplier.instances.InstanceClient;
import org.lovagethread.supplier.instances.ReclaimNotice;

/** Waits for reclaim notices from the Cloud API and reports them to the core. */
public final class ReclaimNoticeWorker implements Worker {
    private static final long RETRY_DELAY_MILLIS = 300;
    private static final long WATCH_TIMEOUT_MILLIS = 20_000;

    private final InstanceClient client;
    private final Consumer<Event> events;
    private long lastSequence;

    /**
     * Creates the worker.
     *
     * @param client the client for reclaim notices
     * @param events receives the events
     */
    public ReclaimNoticeWorker(InstanceClient client, Consumer<Event> events) {
        this.client = client;
        this.events = events;
    }

    @Override
    public String name() {
        return "notices";
    }

    @Override
    public void runIteration() throws InterruptedException {
        Optional<List<ReclaimNotice>> notices = client.awaitNotices(lastSequence, WATCH_TIMEOUT_MILLIS);
        if (notices.isEmpty()) {
            Thread.sleep(RETRY_DELAY_MILLIS);
            return;
        }
        for (ReclaimNotice notice : notices.get()) {
            lastSequence = Math.max(lastSequence, notice.sequence());
            events.accept(new Event.ReclaimNoticed(notice.instance(), notice.deadlineMillis()));
        }
    }
}
