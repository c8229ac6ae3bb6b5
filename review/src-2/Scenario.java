package org.lovagethread.review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.Locale;
import java.util.stream.Stream;

/** What the scripts share: the configuration, free ports, and the record. */
final class Scenario {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** Exit status for a broken rule, which differs from that of a runtime that fails; the scripts turn it into 1. */
    private static final int EXIT_BROKEN = 11;

    static final ObjectMapper JSON = new ObjectMapper();

    private Scenario() {}

    /** Runs a script and exits with its result. */
    interface Body {
        int run(Recorder recorder, Path folder, boolean trouble) throws Exception;
    }

    static void main(String[] args, Body body) throws IOException {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Files.createTempDirectory("review-2");
        int result;
        try (PrintWriter out = new PrintWriter(Files.newBufferedWriter(Path.of(args[0])))) {
            Recorder recorder = new Recorder(out);
            recorder.line("trouble " + (trouble ? "on" : "off"));
            try {
                result = body.run(recorder, folder, trouble);
            } catch (Exception e) {
                recorder.line("the case could not run: " + e);
                result = NOT_RUN;
            }
            recorder.line("result " + result);
        }
        if (result != NOT_RUN) {
            delete(folder);
        }
        System.exit(result == BROKEN ? EXIT_BROKEN : result);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }

    /** Writes lines with the time since the start to the record and to the standard output. */
    static final class Recorder {
        private final PrintWriter out;
        private final long startNanos = System.nanoTime();

        private Recorder(PrintWriter out) {
            this.out = out;
        }

        void line(String text) {
            line(System.nanoTime(), text);
        }

        synchronized void line(long atNanos, String text) {
            String line = String.format(Locale.ROOT, "%8.3f s  %s", (atNanos - startNanos) / 1e9, text);
            out.println(line);
            out.flush();
            System.out.println(line);
        }
    }

    /** Returns ports that are free on all loopback addresses now, far from those that the system hands out itself. */
    static Node.Ports freePorts(int nodes) throws IOException {
        int base = 17_000 + (int) (ProcessHandle.current().pid() % 300) * 40;
        for (int i = 0; i < 100; i++) {
            int first = 17_000 + (base - 17_000 + i * 40) % 12_000;
            if (isFree(first, nodes)) {
                return new Node.Ports(first, first + 1, first + 2, first + 3, first + 10);
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean isFree(int first, int nodes) {
        for (int node = 0; node < nodes; node++) {
            for (int port = first; port < first + 26; port++) {
                try (ServerSocket probe =
                        new ServerSocket(port, 1, InetAddress.getByName("127.0.0." + (11 + node)))) {
                    probe.getLocalPort();
                } catch (IOException e) {
                    return false;
                }
            }
        }
        return true;
    }

    /** Returns a configuration with a model service and a plain one, written like the one of the pages. */
    static JsonNode configuration(long version) throws IOException {
        return JSON.readTree(
                """
                {"version":%d,"routes":[
                {"name":"r-plan","hostname":"pond.example","path_prefix":"/plan/","route_type":"stream","timeout_ms":15000,
                "target_latency_ms":600,"priority":1,"service":"ice-assistant","max_attempts":2,"allow_anonymous":false,
                "sticky_sessions":true,"stream_resume":true,"gap_aim_ms":250},
                {"name":"r-query","hostname":"pond.example","path_prefix":"/query/","route_type":"stream","timeout_ms":12000,
                "target_latency_ms":300,"priority":0,"service":"ice-assistant","max_attempts":1,"allow_anonymous":false,
                "sticky_sessions":true,"stream_resume":false,"gap_aim_ms":250},
                {"name":"r-read","hostname":"pond.example","path_prefix":"/read/","route_type":"safe","timeout_ms":2500,
                "target_latency_ms":150,"priority":2,"service":"pond-records","max_attempts":2,"allow_anonymous":false},
                {"name":"r-book","hostname":"pond.example","path_prefix":"/book/","route_type":"unsafe","timeout_ms":2500,
                "target_latency_ms":150,"priority":2,"service":"pond-desk","max_attempts":1,"allow_anonymous":false}],
                "services":[
                {"name":"ice-assistant","health_path":"/healthz","max_connections":290,"protocol":"h1","tls":false,
                "engine":{"slots":48,"kv_tokens":950105,"models":[{"name":"m"}]},
                "scale":{"min":1,"max":6,"boot_s":4.0,"spot_price":0.18,"zone_prices":{"highlands-a":1.0}}},
                {"name":"pond-records","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false},
                {"name":"pond-desk","health_path":"/healthz","max_connections":96,"protocol":"h1","tls":false}],
                "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
                "idle_timeout_ms":15000},
                "tenants":[{"name":"hule930","api_keys":["k-pond-1"],"priority":1,"unit":"token_count",
                "plain_tokens":200,"rate_per_s":272662,"burst":272662}]}"""
                        .formatted(version));
    }
}
