package org.lovagethread.node.supplier;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lovagethread.core.event.Event;
import org.lovagethread.node.duty.Duty;
import org.lovagethread.supplier.instances.InstanceClient;
import org.lovagethread.supplier.instances.ReclaimNotice;

/** Waits for reclaim notices of the Cloud API. */
public final class NoticeDuty implements Duty {
    private static final long PAUSE_MILLIS = 300;
    private static final long WATCH_MILLIS = 20_000;

    private final InstanceClient client;
    private final Consumer<Event> events;
    private long lastSequence;

    /**
     * Creates the duty.
     *
     * @param client reads the notices
     * @param events takes the events
     */
    public NoticeDuty(InstanceClient client, Consumer<Event> events) {
        this.client = client;
        this.events = events;
    }

    @Override
    public String name() {
        return "notices";
    }

    @Override
    public void step() throws InterruptedException {
        Optional<List<ReclaimNotice>> notices = client.awaitNotices(lastSequence, WATCH_MILLIS);
        if (notices.isEmpty()) {
            Thread.sleep(PAUSE_MILLIS);
            return;
        }
        for (ReclaimNotice notice : notices.get()) {
            lastSequence = Math.max(lastSequence, notice.sequence());
            events.accept(new Event.ReclaimNoticed(notice.instance(), notice.deadlineMillis()));
        }
    }
}
