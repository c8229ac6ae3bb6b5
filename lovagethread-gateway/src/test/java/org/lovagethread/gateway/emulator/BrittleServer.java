package org.lovagethread.gateway.emulator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.lovagethread.gateway.upstream.BrittleNotice;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** An emulated server that falls over when it has to reject too many requests in a second. */
final class BrittleServer {
    private static final double WINDOW_MILLIS = 1_000;
    private static final double DOWN_MILLIS = 3_000;

    private final VirtualClock clock;
    private final Random random;
    private final String id;
    private final String service;
    private final Load load;
    private final Deque<Caller> waiting = new ArrayDeque<>();
    private final Deque<Double> rejections = new ArrayDeque<>();
    private int running;
    private int process = 1;
    private boolean down;
    private BrittleNotice notice = BrittleNotice.NONE;
    private int waitingRoom;
    int falls;
    int rejected;
    int completed;

    /**
     * Properties of a server.
     *
     * @param slots the requests that it processes at once
     * @param usualWaitingRoom the requests that wait while it is not brittle
     * @param meanMillis the mean time for processing a request
     */
    record Load(int slots, int usualWaitingRoom, double meanMillis) {}

    /** Receives the outcome of a request. */
    interface Caller {
        void onResponse(boolean ran, BrittleNotice notice);

        void onBreak();
    }

    BrittleServer(VirtualClock clock, Random random, String id, String service, Load load) {
        this.clock = clock;
        this.random = random;
        this.id = id;
        this.service = service;
        this.load = load;
        this.waitingRoom = load.usualWaitingRoom();
    }

    UpstreamEntry entry() {
        return new UpstreamEntry(id, service, "10.0.0.1", 80, "a", load.slots(), false, false, process);
    }

    boolean isDown() {
        return down;
    }

    /** States a notice from now on; some time later fewer requests may wait. */
    void become(BrittleNotice newNotice, double contactMillis, int newWaitingRoom) {
        notice = newNotice;
        clock.schedule(contactMillis, () -> waitingRoom = newWaitingRoom);
    }

    void recover() {
        notice = BrittleNotice.NONE;
        waitingRoom = load.usualWaitingRoom();
    }

    void receive(Caller caller) {
        if (down) {
            caller.onBreak();
        } else if (running < load.slots()) {
            run(caller);
        } else if (waiting.size() < waitingRoom) {
            waiting.add(caller);
        } else {
            reject(caller);
        }
    }

    private void run(Caller caller) {
        running++;
        int startedAt = process;
        double millis = load.meanMillis() * (0.5 + random.nextDouble());
        clock.schedule(millis, () -> {
            if (startedAt != process || down) {
                caller.onBreak();
                return;
            }
            running--;
            completed++;
            caller.onResponse(true, notice);
            if (!waiting.isEmpty()) {
                run(waiting.poll());
            }
        });
    }

    private void reject(Caller caller) {
        rejected++;
        rejections.add(clock.nowMillis());
        while (rejections.peek() <= clock.nowMillis() - WINDOW_MILLIS) {
            rejections.poll();
        }
        caller.onResponse(false, notice);
        if (notice.form() != BrittleNotice.Form.NONE && rejections.size() > notice.maxRejections()) {
            fall();
        }
    }

    void fall() {
        falls++;
        down = true;
        running = 0;
        rejections.clear();
        waiting.forEach(Caller::onBreak);
        waiting.clear();
        clock.schedule(DOWN_MILLIS, () -> {
            process++;
            down = false;
        });
    }
}
