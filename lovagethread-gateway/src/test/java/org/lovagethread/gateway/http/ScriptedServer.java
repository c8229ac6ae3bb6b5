package org.lovagethread.gateway.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A server whose responses to requests without bodies are determined by the test, byte by byte. */
final class ScriptedServer implements AutoCloseable {
    private final ServerSocket socket;
    private final Script script;
    private final AtomicInteger connections = new AtomicInteger();
    private final CompletableFuture<ClientEnding> firstClientEnding = new CompletableFuture<>();

    /** Determines what is written after each request. */
    interface Script {
        /**
         * Responds to a request.
         *
         * @param connection the number of the connection, from 1
         * @param request the number of the request on this connection, from 1
         * @return the bytes to write; empty if nothing is written
         */
        Reply reply(int connection, int request);
    }

    /** What happens after the bytes of a reply have been written. */
    enum Ending {
        KEEP,
        CLOSE,
        RESET
    }

    /** How a client ended a connection. */
    enum ClientEnding {
        CLOSED,
        RESET
    }

    record Reply(String bytes, Ending ending) {
        static Reply keep(String bytes) {
            return new Reply(bytes, Ending.KEEP);
        }
    }

    ScriptedServer(Script script) throws IOException {
        this.script = script;
        socket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        startThread(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }

    /** Returns the number of connections accepted so far. */
    int connections() {
        return connections.get();
    }

    /** Returns how a client ended a connection for the first time. */
    ClientEnding awaitClientEnding(long timeoutMillis) throws Exception {
        return firstClientEnding.get(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = socket.accept();
                int number = connections.incrementAndGet();
                startThread(() -> serve(connection, number));
            }
        } catch (IOException e) {
            // The test has closed the server.
        }
    }

    private void serve(Socket connection, int number) {
        try (connection) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
            for (int request = 1; readHead(reader).isPresent(); request++) {
                Reply reply = script.reply(number, request);
                connection.getOutputStream().write(reply.bytes().getBytes(StandardCharsets.US_ASCII));
                if (reply.ending() != Ending.KEEP) {
                    connection.setSoLinger(reply.ending() == Ending.RESET, 0);
                    return;
                }
            }
            firstClientEnding.complete(ClientEnding.CLOSED);
        } catch (IOException e) {
            firstClientEnding.complete(ClientEnding.RESET);
        }
    }

    private static Optional<String> readHead(BufferedReader reader) throws IOException {
        String first = reader.readLine();
        String line = first;
        while (line != null && !line.isEmpty()) {
            line = reader.readLine();
        }
        return Optional.ofNullable(first);
    }
}
