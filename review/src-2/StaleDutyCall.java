package org.lovagethread.review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lovagethread.review2.DutyApi.Call;
import org.lovagethread.review2.Scenario.Recorder;

/**
 * Cuts the holder of the duties off the platform shortly before it orders servers, and checks the fencing tokens that the
 * platform receives.
 */
public final class StaleDutyCall {
    private static final int NODES = 3;
    private static final long CUT_MILLIS = 5_500;
    private static final long CONTACT_MILLIS = 4_000;
    private static final long THAW_NANOS = 300_000_000L;
    /** Pause after which the holder was seen to repeat an order of servers that are not to be had. */
    private static final long ORDER_INTERVAL_MILLIS = 3_000;

    /** The holder was seen to use a connection again that it had used so long ago. */
    private static final long REUSED_MILLIS = 1_600;

    private static final long CUT_BEFORE_ORDER_MILLIS = 200;
    private static final long MAX_WAIT_NANOS = 60_000_000_000L;

    private StaleDutyCall() {}

    public static void main(String[] args) throws Exception {
        Scenario.main(args, StaleDutyCall::run);
    }

    private static int run(Recorder recorder, Path folder, boolean trouble) throws Exception {
        List<AutoCloseable> started = new ArrayList<>();
        AtomicBoolean stopping = new AtomicBoolean();
        try {
            Store store = add(started, new Store());
            DutyApi api = add(started, new DutyApi(false));
            store.put("config", "main", Scenario.configuration(7));
            for (int i = 0; i < 3; i++) {
                Server server = add(started, new Server("i-desk-" + i, "pond-desk", 20));
                store.put("servers", server.id(), server.entry("ready"));
            }
            store.put("servers", "i-model-0", modelEntry());
            Node.Ports ports = Scenario.freePorts(NODES);
            List<Node> nodes = new ArrayList<>();
            Map<String, List<Link>> links = new HashMap<>();
            for (int i = 0; i < NODES; i++) {
                Link toStore = add(started, new Link(store.port()));
                Link toApi = add(started, new Link(api.port()));
                Node node = add(started, new Node(i, ports, folder, toStore.port(), toApi.port()));
                node.start();
                nodes.add(node);
                links.put(node.name(), List.of(toStore, toApi));
            }
            for (Node node : nodes) {
                node.awaitReady(20);
            }
            recorder.line("nodes are ready");
            startCaller(nodes, ports, stopping, recorder);
            Thread.sleep(CONTACT_MILLIS + 1_000);
            String holder = awaitOrder(api, recorder);
            List<Link> cut = links.get(holder);
            if (trouble) {
                cut.forEach(Link::cut);
                recorder.line(holder + " is cut off the store and the API");
            }
            Thread.sleep(CUT_MILLIS);
            long healedNanos = System.nanoTime();
            if (trouble) {
                cut.forEach(Link::heal);
                recorder.line("the cut of " + holder + " has healed");
            }
            Thread.sleep(8_000);
            return check(api.calls(), holder, healedNanos, recorder);
        } finally {
            stopping.set(true);
            for (int i = started.size() - 1; i >= 0; i--) {
                started.get(i).close();
            }
        }
    }

    private static <T extends AutoCloseable> T add(List<AutoCloseable> started, T item) {
        started.add(item);
        return item;
    }

    private static ObjectNode modelEntry() {
        return Scenario.JSON
                .createObjectNode()
                .put("service", "ice-assistant")
                .put("address", "127.0.0.1:9")
                .put("zone", "highlands-a")
                .put("version", "v1")
                .put("slots", 48)
                .put("state", "ready")
                .put("cold_remaining_ms", 0)
                .put("sequence", 1)
                .put("born", System.currentTimeMillis());
    }

    private static void startCaller(List<Node> nodes, Node.Ports ports, AtomicBoolean stopping, Recorder recorder) {
        Thread thread = new Thread(() -> {
            for (int i = 0; !stopping.get(); i++) {
                Node node = nodes.get(i % nodes.size());
                Caller.Answer answer = Caller.post(node.host(), ports.front(), "/book/2f", "q-" + i);
                recorder.line("request " + answer.requestId() + " at " + node.name() + ": " + answer.status());
                try {
                    Thread.sleep(50);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Waits for a moment just before an order is due, shortly after another call of the holder; returns the holder. */
    private static String awaitOrder(DutyApi api, Recorder recorder) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + MAX_WAIT_NANOS;
        while (System.nanoTime() < deadlineNanos) {
            List<Call> calls = api.calls();
            Call last = calls.isEmpty() ? null : calls.get(calls.size() - 1);
            Call lastOrder = null;
            for (Call call : calls) {
                lastOrder = call.path().equals("/scale") ? call : lastOrder;
            }
            if (lastOrder != null) {
                long dueMillis = (lastOrder.atNanos() - System.nanoTime()) / 1_000_000 + ORDER_INTERVAL_MILLIS;
                long ageMillis = (System.nanoTime() - last.atNanos()) / 1_000_000;
                if (last != lastOrder
                        && ageMillis < REUSED_MILLIS
                        && dueMillis > 0
                        && dueMillis < CUT_BEFORE_ORDER_MILLIS) {
                    recorder.line("the last call, " + last.path() + ", was " + ageMillis + " ms ago; the next order is due"
                            + " in " + dueMillis + " ms");
                    return last.holder();
                }
            }
            Thread.sleep(10);
        }
        throw new IllegalStateException("no two calls of the holder came close to each other");
    }

    private static int check(List<Call> calls, String cutHolder, long healedNanos, Recorder recorder) {
        Map<String, Call> highest = new HashMap<>();
        int violations = 0;
        for (Call call : calls) {
            recorder.line(
                    call.atNanos(), "the API got " + call.subject() + " from " + call.holder() + " with token "
                            + call.token() + (call.path().equals("/usage") ? " " + call.body() : ""));
            Call previous = highest.get(call.subject());
            boolean excused = call.holder().equals(cutHolder)
                    && call.atNanos() >= healedNanos
                    && call.atNanos() - healedNanos <= THAW_NANOS;
            if (previous != null && call.token() < previous.token() && !excused) {
                violations++;
                recorder.line(call.atNanos(), "ONE is broken: token " + call.token() + " of " + call.holder()
                        + " after token " + previous.token() + " of " + previous.holder() + ", "
                        + (call.atNanos() - healedNanos) / 1_000_000 + " ms after the end of the cut");
            }
            if (previous == null || call.token() >= previous.token()) {
                highest.put(call.subject(), call);
            }
        }
        recorder.line(calls.size() + " calls, " + violations + " with a token that was out of date");
        return violations > 0 ? Scenario.BROKEN : Scenario.HELD;
    }
}
