import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A client that keeps one connection for many requests. */
final class Caller implements AutoCloseable {
    /** The final answer to a request; status 0 if the connection ended without one. */
    record Answer(int status, Map<String, String> headers, String body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    private final InetSocketAddress address;
    private Socket socket;
    private InputStream in;

    Caller(InetSocketAddress address) {
        this.address = address;
    }

    void connect() throws IOException {
        close();
        socket = new Socket();
        socket.connect(address, 1_000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends one request, once, and returns its answer. */
    Answer call(String method, String path, String id, String headers, byte[] body, int timeoutMillis) {
        try {
            if (socket == null || socket.isClosed()) {
                connect();
            }
            send(method, path, id, headers, body);
            socket.setSoTimeout(timeoutMillis);
            Answer answer = read();
            if (answer.status() == 0 || answer.header("connection").equalsIgnoreCase("close")) {
                close();
            }
            return answer;
        } catch (IOException e) {
            close();
            return new Answer(0, Map.of(), e.toString());
        }
    }

    void send(String method, String path, String id, String headers, byte[] body) throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: pond.example\r\nX-Request-Id: " + id + "\r\n" + headers
                + (method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().write(body);
        socket.getOutputStream().flush();
    }

    private Answer read() throws IOException {
        String first = HttpPeer.readLine(in);
        if (first == null) {
            return new Answer(0, Map.of(), "closed");
        }
        Map<String, String> headers = new LinkedHashMap<>();
        String line = HttpPeer.readLine(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.merge(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip(),
                    (a, b) -> a + " | " + b);
            line = HttpPeer.readLine(in);
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            return new Answer(0, headers, "truncated");
        }
        return new Answer(Integer.parseInt(first.split(" ")[1]), headers, new String(body, StandardCharsets.UTF_8));
    }

    @Override
    public void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                System.err.println("close: " + e);
            }
        }
    }
}
