import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A minimal HTTP/1.1 server on blocking sockets whose handlers write the bytes of their responses themselves. */
final class HttpPeer implements AutoCloseable {
    /** A request with its complete body. */
    record Request(String method, String uri, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String path() {
            int query = uri.indexOf('?');
            return query < 0 ? uri : uri.substring(0, query);
        }

        String query(String name) {
            int start = uri.indexOf('?');
            if (start >= 0) {
                for (String part : uri.substring(start + 1).split("&")) {
                    if (part.startsWith(name + "=")) {
                        return part.substring(name.length() + 1);
                    }
                }
            }
            return "";
        }
    }

    /** Handles the requests of a server. */
    interface Handler {
        void handle(Request request, Connection connection) throws IOException, InterruptedException;
    }

    /** A connection of a client. */
    final class Connection {
        private final Socket socket;
        private volatile boolean silent;

        private Connection(Socket socket) {
            this.socket = socket;
        }

        /** Writes bytes, unless the connection has been silenced. */
        void write(byte[] bytes) throws IOException {
            synchronized (socket) {
                if (!silent) {
                    OutputStream out = socket.getOutputStream();
                    out.write(bytes);
                    out.flush();
                }
            }
        }

        /** Writes a response with a length. */
        void respond(int status, String headers, String text) throws IOException {
            write(response(status, headers, text));
        }
    }

    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    HttpPeer(String host, Handler handler) throws IOException {
        this.handler = handler;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 512);
        start(this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Lets all open connections go silent without a reset; new ones work. */
    int silenceOpenConnections() {
        for (Connection connection : connections) {
            connection.silent = true;
        }
        return connections.size();
    }

    /** Stops the server as a process that ends: no new connections, and the open ones are closed. */
    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        for (Connection connection : connections) {
            connection.socket.close();
        }
    }

    static byte[] response(int status, String headers, String text) {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Connection connection = new Connection(socket);
                connections.add(connection);
                start(() -> serve(connection));
            } catch (IOException e) {
                if (!closed) {
                    System.err.println("accept: " + e);
                }
            }
        }
    }

    private void serve(Connection connection) {
        try {
            InputStream in = new BufferedInputStream(connection.socket.getInputStream());
            Request request = read(in);
            while (request != null) {
                if (!connection.silent) {
                    handler.handle(request, connection);
                }
                request = read(in);
            }
        } catch (IOException | InterruptedException e) {
            // The client has closed the connection.
        } finally {
            connections.remove(connection);
            try {
                connection.socket.close();
            } catch (IOException e) {
                System.err.println("close: " + e);
            }
        }
    }

    private static Request read(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null || first.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        String line = readLine(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
            line = readLine(in);
        }
        String[] words = first.split(" ");
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Request(words[0], words[1], headers, body);
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.append((char) next);
            }
            next = in.read();
        }
        return next < 0 && line.isEmpty() ? null : line.toString();
    }

    static void start(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }
}
