import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A faulty server sends additional bytes after some complete answers: the head of a refusal, cut in its first header
 * line. The next request on the connection runs and is answered properly.
 */
final class ExtraBytes extends Scenario {
    private static final int REQUESTS = 800;
    /** One in 40 answers of one of the two servers, so garble with a share of 0.5 and x of 0.025. */
    private static final int ANSWERS_PER_FAULT = 40;
    private static final byte[] EXTRA = bytes("HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: ");

    private final Map<String, AtomicInteger> runsById = new ConcurrentHashMap<>();
    private final AtomicInteger faults = new AtomicInteger();
    private final AtomicInteger faultyAnswers = new AtomicInteger();

    private ExtraBytes(Path recordFile) throws IOException {
        super(recordFile);
    }

    public static void main(String[] args) throws IOException {
        System.exit(new ExtraBytes(Path.of(args[0])).run());
    }

    @Override
    int play() throws Exception {
        long born = System.currentTimeMillis();
        store.put("config", "main", configuration(1, "\"k-ice\"", 10_000_000, 10_000_000));
        for (String id : new String[] {"i-sound", "i-faulty"}) {
            HttpPeer server = new HttpPeer("127.0.0.1", (request, connection) -> serve(id, request, connection));
            store.put("servers", id, server(server.address(), "ready", born, 1));
        }
        startNodes(1);
        int answered = 0;
        int refusedThoughRun = 0;
        try (Caller caller = new Caller(nodes.get(0).front())) {
            for (int i = 0; i < REQUESTS; i++) {
                String id = "b-" + i;
                Caller.Answer answer = caller.call(
                        "POST",
                        "/book/crew",
                        id,
                        "Authorization: Bearer k-ice\r\nX-Request-Deadline: 2500\r\n",
                        bytes("{\"crew\":" + i + "}"),
                        4_000);
                int runs = runsById.getOrDefault(id, new AtomicInteger()).get();
                answered += answer.status() == 200 ? 1 : 0;
                refusedThoughRun += answer.status() == 503 && runs > 0 ? 1 : 0;
                if (runs != 1 || answer.status() != 200) {
                    note(id + " answered " + answer.status() + " and run " + runs + " times");
                }
                Thread.sleep(10);
            }
        }
        long twice = runsById.values().stream().filter(runs -> runs.get() > 1).count();
        note(REQUESTS + " unsafe requests sent once each, " + answered + " answered 200, additional bytes after "
                + faults.get() + " answers, " + twice + " requests run twice, " + refusedThoughRun
                + " refused with 503 though run");
        return answered == 0 ? NOT_RUN : twice > 0 || refusedThoughRun > 0 ? BROKEN : HELD;
    }

    private void serve(String server, HttpPeer.Request request, HttpPeer.Connection connection) throws IOException {
        if (request.path().equals("/healthz")) {
            connection.respond(200, "X-Instance-Id: " + server + "\r\n", "");
            return;
        }
        if (!request.header("X-Expect-Instance").equals(server)) {
            connection.respond(421, "X-Not-Executed: other instance\r\n", "");
            return;
        }
        String id = request.header("X-Request-Id");
        int runs = runsById.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        note(server + " runs " + id + (runs > 1 ? ", run " + runs : ""));
        byte[] answer = HttpPeer.response(
                200, "X-Request-Id: " + id + "\r\nX-Response-Seal: " + server + "." + id + "\r\n", "{\"done\":\"" + id + "\"}");
        boolean faulty = trouble
                && server.equals("i-faulty")
                && faultyAnswers.incrementAndGet() % ANSWERS_PER_FAULT == 0;
        connection.write(faulty ? concat(answer, EXTRA) : answer);
        if (faulty) {
            faults.incrementAndGet();
            note(server + " sends additional bytes after its answer to " + id);
        }
    }

    private static byte[] concat(byte[] first, byte[] second) {
        byte[] joined = new byte[first.length + second.length];
        System.arraycopy(first, 0, joined, 0, first.length);
        System.arraycopy(second, 0, joined, first.length, second.length);
        return joined;
    }
}
