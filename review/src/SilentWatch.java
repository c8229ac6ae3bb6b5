import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open connections to the store go silent at one moment, without a reset; new ones work. A server reports that it
 * is draining soon afterwards, serves for the drain time and a little longer, and exits.
 */
final class SilentWatch extends Scenario {
    private static final long CONTACT_MILLIS = 4_000;
    private static final long DRAIN_MILLIS = 2_500;

    /** Time from the silence to the acknowledgement of the server's report. */
    private static final long REPORT_DELAY_MILLIS = 1_500;

    /** Time for which the server goes on serving after the drain time. */
    private static final long LINGER_MILLIS = 1_500;

    private static final long WORK_MILLIS = 40;
    private static final int CALLERS = 3;

    private volatile long silentSince = Long.MAX_VALUE / 2;
    private volatile long acknowledgedAt = Long.MAX_VALUE / 2;
    private volatile boolean stopped;
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger early = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger unknown = new AtomicInteger();

    private SilentWatch(Path recordFile) throws IOException {
        super(recordFile);
    }

    public static void main(String[] args) throws IOException {
        System.exit(new SilentWatch(Path.of(args[0])).run());
    }

    @Override
    int play() throws Exception {
        long born = System.currentTimeMillis();
        store.put("config", "main", configuration(1, "\"k-ice\"", 10_000_000, 10_000_000));
        HttpPeer staying = startServer("i-staying", born);
        HttpPeer leaving = startServer("i-leaving", born);
        startNodes(3);
        List<Thread> callers = startCallers();
        Thread.sleep(5_000);
        // An ordinary change: another server has started. All gateways then watch anew at the same time.
        HttpPeer added = startServer("i-added", born + 1);
        Thread.sleep(600);
        silentSince = millis();
        if (trouble) {
            note("silent: " + store.server().silenceOpenConnections() + " connections to the store");
        }
        Thread.sleep(REPORT_DELAY_MILLIS);
        store.put("servers", "i-leaving", server(leaving.address(), "draining", born, 2));
        acknowledgedAt = millis();
        note("the store has acknowledged that i-leaving is draining");
        Thread.sleep(DRAIN_MILLIS + LINGER_MILLIS);
        leaving.close();
        store.remove("servers", "i-leaving");
        note("i-leaving has left");
        Thread.sleep(500);
        stopped = true;
        for (Thread caller : callers) {
            caller.join();
        }
        staying.close();
        added.close();
        note(early.get() + " requests reached i-leaving before the drain time was over, " + late.get()
                + " later, of those that were sent by gateways in touch");
        note(answered.get() + " requests answered 200, " + unknown.get() + " with 502, 504 or a closed connection");
        return early.get() == 0 ? NOT_RUN : late.get() > 0 ? BROKEN : HELD;
    }

    private HttpPeer startServer(String id, long born) throws IOException {
        HttpPeer server = new HttpPeer("127.0.0.1", (request, connection) -> serve(id, request, connection));
        store.put("servers", id, server(server.address(), "ready", born, 1));
        return server;
    }

    private List<Thread> startCallers() {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS * nodes.size(); i++) {
            int number = i;
            Thread caller = new Thread(() -> call(number));
            caller.start();
            callers.add(caller);
        }
        return callers;
    }

    private void call(int number) {
        try (Caller caller = new Caller(nodes.get(number % nodes.size()).front())) {
            for (int i = 0; !stopped; i++) {
                Caller.Answer answer = caller.call(
                        "POST",
                        "/book/crew",
                        "b-" + number + "-" + i + "-" + millis(),
                        "Authorization: Bearer k-ice\r\nX-Request-Deadline: 2500\r\n",
                        bytes("{}"),
                        4_000);
                answered.addAndGet(answer.status() == 200 ? 1 : 0);
                if (answer.status() == 0 || answer.status() == 502 || answer.status() == 504) {
                    unknown.incrementAndGet();
                    note("a request has no certain outcome: " + answer.status());
                }
                Thread.sleep(20);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(String server, HttpPeer.Request request, HttpPeer.Connection connection)
            throws IOException, InterruptedException {
        if (!request.header("X-Expect-Instance").equals(server)) {
            connection.respond(421, "X-Not-Executed: other instance\r\n", "");
            return;
        }
        String id = request.header("X-Request-Id");
        if (server.equals("i-leaving")) {
            recordArrival(id);
        }
        Thread.sleep(WORK_MILLIS);
        connection.respond(
                200, "X-Request-Id: " + id + "\r\nX-Response-Seal: " + server + "." + id + "\r\n", "{\"done\":\"" + id + "\"}");
    }

    /** Counts a request; one is late only if its client sent it when the gateway had been in touch for long enough. */
    private void recordArrival(String id) {
        long sentAt = Long.parseLong(id.substring(id.lastIndexOf('-') + 1));
        long now = millis();
        if (now <= acknowledgedAt + DRAIN_MILLIS) {
            early.incrementAndGet();
        } else if (sentAt > silentSince + CONTACT_MILLIS) {
            late.incrementAndGet();
            note("i-leaving receives " + id + ", " + (now - acknowledgedAt) + " ms after the acknowledgement");
        }
    }
}
