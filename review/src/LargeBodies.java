import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Many clients send bodies at once, each within the limit of the configuration, beside ordinary requests. */
final class LargeBodies extends Scenario {
    private static final int ROUTE_TIMEOUT_MILLIS = 2_500;
    private static final int SLACK_MILLIS = 500;
    private static final int CLIENT_TIMEOUT_MILLIS = 6_000;
    private static final int MIN_OVERDUE = 8;
    private static final int CALLERS = 12;
    private static final int UPLOADS = 40;

    /** Size of a body, below max_body_bytes (4,194,304). */
    private static final int BODY_BYTES = 4_100_000;

    /** Time in which each client sends its body, in steps; all bodies together use a quarter of the link. */
    private static final int UPLOAD_STEPS = 100;

    private static final long UPLOAD_STEP_MILLIS = 50;

    private final Map<String, AtomicInteger> runsById = new ConcurrentHashMap<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger overdue = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile boolean stopped;

    private LargeBodies(Path recordFile) throws IOException {
        super(recordFile);
    }

    public static void main(String[] args) throws IOException {
        System.exit(new LargeBodies(Path.of(args[0])).run());
    }

    @Override
    int play() throws Exception {
        long born = System.currentTimeMillis();
        store.put("config", "main", configuration(1, "\"k-ice\"", 10_000_000, 10_000_000));
        for (int i = 0; i < 3; i++) {
            String id = "i-" + i;
            HttpPeer server = new HttpPeer("127.0.0.1", (request, connection) -> serve(id, request, connection));
            store.put("servers", id, server(server.address(), "ready", born, 1));
        }
        startNodes(1);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int number = i;
            clients.add(new Thread(() -> call(number)));
        }
        clients.forEach(Thread::start);
        Thread.sleep(5_000);
        for (int i = 0; i < UPLOADS && trouble; i++) {
            int number = i;
            Thread upload = new Thread(() -> upload(number));
            upload.start();
            clients.add(upload);
        }
        for (int i = 0; i < 20; i++) {
            Thread.sleep(1_000);
            note("readiness check: " + nodes.get(0).readinessStatus() + ", process runs: " + nodes.get(0).isAlive());
        }
        stopped = true;
        for (Thread client : clients) {
            client.join();
        }
        note(answered.get() + " ordinary requests answered within their route's timeout, " + overdue.get()
                + " unanswered at the timeout, of these " + unanswered.get() + " still unanswered " + SLACK_MILLIS
                + " ms later, " + lost.get() + " run by a server and never answered");
        boolean broken = overdue.get() >= MIN_OVERDUE && unanswered.get() * 2 > overdue.get();
        return answered.get() == 0 ? NOT_RUN : broken ? BROKEN : HELD;
    }

    private void call(int number) {
        try (Caller caller = new Caller(nodes.get(0).front())) {
            for (int i = 0; !stopped; i++) {
                String id = "b-" + number + "-" + i;
                long sentAt = millis();
                Caller.Answer answer = caller.call(
                        "POST",
                        "/book/crew",
                        id,
                        "Authorization: Bearer k-ice\r\nX-Request-Deadline: " + ROUTE_TIMEOUT_MILLIS + "\r\n",
                        bytes("{}"),
                        CLIENT_TIMEOUT_MILLIS);
                judge(id, answer, millis() - sentAt);
                Thread.sleep(40);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void judge(String id, Caller.Answer answer, long tookMillis) {
        if (tookMillis <= ROUTE_TIMEOUT_MILLIS) {
            answered.addAndGet(answer.status() > 0 ? 1 : 0);
            return;
        }
        overdue.incrementAndGet();
        if (tookMillis > ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS) {
            unanswered.incrementAndGet();
        }
        boolean run = runsById.containsKey(id);
        lost.addAndGet(run && answer.status() == 0 ? 1 : 0);
        note(id + " ended after " + tookMillis + " ms with "
                + (answer.status() == 0 ? "no answer" : "status " + answer.status()) + (run ? ", run by a server" : ""));
    }

    private void upload(int number) {
        String result;
        try (Socket socket = new Socket()) {
            socket.connect(nodes.get(0).front(), 1_000);
            socket.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
            socket.getOutputStream()
                    .write(bytes("POST /book/report HTTP/1.1\r\nHost: pond.example\r\nX-Request-Id: u-" + number
                            + "\r\nAuthorization: Bearer k-ice\r\nX-Request-Deadline: 2500\r\nContent-Length: "
                            + BODY_BYTES + "\r\n\r\n"));
            byte[] step = new byte[BODY_BYTES / UPLOAD_STEPS];
            for (int i = 0; i < UPLOAD_STEPS; i++) {
                socket.getOutputStream().write(step);
                Thread.sleep(UPLOAD_STEP_MILLIS);
            }
            result = String.valueOf(HttpPeer.readLine(socket.getInputStream()));
        } catch (IOException e) {
            result = e.toString();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            result = "interrupted";
        }
        note("body " + number + " ended: " + result);
    }

    private void serve(String server, HttpPeer.Request request, HttpPeer.Connection connection)
            throws IOException, InterruptedException {
        if (!request.header("X-Expect-Instance").equals(server)) {
            connection.respond(421, "X-Not-Executed: other instance\r\n", "");
            return;
        }
        String id = request.header("X-Request-Id");
        runsById.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        Thread.sleep(30);
        connection.respond(200, "X-Request-Id: " + id + "\r\nX-Response-Seal: " + server + "." + id + "\r\n", "{}");
    }
}
