import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client that sends one request at a time and reads the streams that answer them. */
final class StreamCaller implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 17_000;

    private final InetSocketAddress address;
    private Socket socket;
    private InputStream in;

    StreamCaller(InetSocketAddress address) {
        this.address = address;
    }

    /** Sends a request once; returns the status and whether its answer was whole. */
    String call(String path, String id, String headers) {
        try {
            if (socket == null) {
                socket = new Socket();
                socket.connect(address, 1_000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(TIMEOUT_MILLIS);
                in = new BufferedInputStream(socket.getInputStream());
            }
            String text = "POST " + path + " HTTP/1.1\r\nHost: pond.example\r\nX-Request-Id: " + id + "\r\n" + headers
                    + "Content-Length: 2\r\n\r\n{}";
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
            return read();
        } catch (IOException e) {
            close();
            return "broken: " + e.getMessage();
        }
    }

    private String read() throws IOException {
        String first = HttpPeer.readLine(in);
        if (first == null) {
            throw new IOException("closed without an answer");
        }
        String status = first.split(" ")[1];
        boolean chunked = false;
        boolean closes = false;
        int length = 0;
        for (String line = HttpPeer.readLine(in); line != null && !line.isEmpty(); line = HttpPeer.readLine(in)) {
            String lower = line.toLowerCase();
            chunked |= lower.startsWith("transfer-encoding: chunked");
            closes |= lower.startsWith("connection: close");
            length = lower.startsWith("content-length:") ? Integer.parseInt(lower.substring(15).strip()) : length;
        }
        if (chunked) {
            readChunks();
        } else {
            in.readNBytes(length);
        }
        if (closes) {
            close();
        }
        return status + " whole";
    }

    private void readChunks() throws IOException {
        int size = -1;
        while (size != 0) {
            String line = HttpPeer.readLine(in);
            if (line == null) {
                throw new IOException("stream cut");
            }
            size = Integer.parseInt(line.strip(), 16);
            if (in.readNBytes(size).length < size || HttpPeer.readLine(in) == null) {
                throw new IOException("stream cut");
            }
        }
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            System.err.println("close: " + e);
        }
        socket = null;
    }
}
