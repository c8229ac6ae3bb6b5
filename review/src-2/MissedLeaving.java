package org.lovagethread.review2;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.lovagethread.review2.Scenario.Recorder;

/**
 * Lets a server leave while a node that has just been started again reads the list of servers, which has two pages, and
 * checks whether the server gets requests later than it may.
 */
public final class MissedLeaving {
    private static final int OTHER_SERVERS = 600;
    private static final long DRAIN_MILLIS = 2_500;
    private static final long CONTACT_MILLIS = 4_000;

    /** Time from the report of the server until it ends. */
    private static final long LEAVES_MILLIS = 4_500;

    private static final int NODES = 3;
    private static final int REQUESTS = 24;

    private MissedLeaving() {}

    public static void main(String[] args) throws Exception {
        Scenario.main(args, MissedLeaving::run);
    }

    private static int run(Recorder recorder, Path folder, boolean trouble) throws Exception {
        ExecutorService executor = Executors.newCachedThreadPool();
        List<Node> nodes = new ArrayList<>();
        try (Store store = new Store();
                DutyApi api = new DutyApi(false);
                Server leaving = new Server("i-0a", "ice-assistant", 1_500);
                Server staying = new Server("i-0b", "ice-assistant", 1_500);
                Server added = new Server("i-0c", "ice-assistant", 1_500)) {
            store.put("config", "main", Scenario.configuration(7));
            store.put("servers", leaving.id(), leaving.entry("ready"));
            store.put("servers", staying.id(), staying.entry("ready"));
            for (int i = 0; i < OTHER_SERVERS; i++) {
                store.put("servers", "i-%04d".formatted(1_000 + i), otherEntry(i));
            }
            Node.Ports ports = Scenario.freePorts(NODES);
            for (int i = 0; i < NODES; i++) {
                Node node = new Node(i, ports, folder, store.port(), api.port());
                nodes.add(node);
                node.start();
            }
            for (Node node : nodes) {
                node.awaitReady(20);
            }
            Node restarted = nodes.get(NODES - 1);
            recorder.line("the nodes are ready; " + restarted.name() + " is stopped and started again");
            restarted.signal("TERM");
            if (!restarted.awaitExit(10)) {
                throw new IllegalStateException("the node does not stop");
            }
            AtomicLong leaveNanos = new AtomicLong();
            CountDownLatch listed = new CountDownLatch(1);
            AtomicBoolean first = new AtomicBoolean(true);
            store.onListPage((kind, truncated) -> {
                if (kind.equals("servers") && truncated && first.getAndSet(false)) {
                    recorder.line("the store has answered the first page of the servers");
                    if (trouble) {
                        replace(store, leaving, added);
                        leaveNanos.set(System.nanoTime());
                        recorder.line(
                                "the entry of " + leaving.id() + " has been removed, and " + added.id() + " added");
                    }
                } else if (kind.equals("servers") && !truncated) {
                    recorder.line("the store has answered the last page of the servers");
                    listed.countDown();
                }
            });
            long startNanos = System.nanoTime();
            restarted.start();
            if (!listed.await(20, TimeUnit.SECONDS)) {
                throw new IllegalStateException("the node does not read the servers");
            }
            restarted.awaitReady(20);
            recorder.line(restarted.name() + " is ready again");
            sleepUntil(startNanos + (CONTACT_MILLIS + 500) * 1_000_000);
            Future<?> end = executor.submit(() -> {
                if (trouble) {
                    sleepUntil(leaveNanos.get() + LEAVES_MILLIS * 1_000_000);
                    leaving.close();
                    recorder.line("the process of " + leaving.id() + " has ended");
                }
            });
            List<Future<Caller.Answer>> answers = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                Node node = nodes.get(i % NODES);
                String requestId = "q-" + i + "-at-" + node.name();
                answers.add(executor.submit(() -> Caller.stream(node.host(), ports.front(), "/query/2f", requestId)));
                Thread.sleep(10);
            }
            int lost = 0;
            for (Future<Caller.Answer> future : answers) {
                Caller.Answer answer = future.get(20, TimeUnit.SECONDS);
                lost += answer.status() == 200 ? 0 : 1;
                recorder.line(answer.sentNanos(), answer.requestId() + " was sent");
                recorder.line(answer.endNanos(), answer.requestId() + " ended, "
                        + (answer.status() == 0 ? "broken off" : "status " + answer.status()));
            }
            end.get();
            return check(leaving, leaveNanos.get(), lost, recorder);
        } finally {
            nodes.forEach(Node::close);
            executor.shutdownNow();
        }
    }

    /** Replaces a server, as in a release: its entry is removed, and that of its successor appears. */
    private static void replace(Store store, Server leaving, Server added) {
        leaving.entry("draining");
        store.remove("servers", leaving.id());
        store.put("servers", added.id(), added.entry("ready"));
    }

    private static int check(Server leaving, long leaveNanos, int lost, Recorder recorder) {
        int late = 0;
        for (Server.Run run : leaving.runs()) {
            long afterMillis = leaveNanos == 0 ? 0 : (run.atNanos() - leaveNanos) / 1_000_000;
            recorder.line(run.atNanos(), leaving.id() + " runs " + run.requestId()
                    + (leaveNanos == 0 ? "" : ", " + afterMillis + " ms after its entry was removed"));
            late += afterMillis > DRAIN_MILLIS ? 1 : 0;
        }
        recorder.line(late + " requests reached a server whose entry had been gone for more than " + DRAIN_MILLIS
                + " ms; "
                + lost + " of " + REQUESTS + " got no complete answer");
        return late > 0 ? Scenario.BROKEN : Scenario.HELD;
    }

    /** Returns the entry of a server of a service that gets no requests here. */
    private static JsonNode otherEntry(int number) {
        return Scenario.JSON
                .createObjectNode()
                .put("service", "pond-records")
                .put("address", "127.2." + number / 250 + "." + (1 + number % 250) + ":9")
                .put("zone", "highlands-a")
                .put("version", "v1")
                .put("slots", 6)
                .put("state", "ready")
                .put("cold_remaining_ms", 0)
                .put("sequence", 1)
                .put("born", 1_700_000_000_000L + number);
    }

    private static void sleepUntil(long nanos) {
        try {
            Thread.sleep(Math.max(0, (nanos - System.nanoTime()) / 1_000_000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
