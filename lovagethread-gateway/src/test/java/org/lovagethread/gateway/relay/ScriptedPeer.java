package org.lovagethread.gateway.relay;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.lovagethread.wire.generated.RelayFrame;

/** A peer that answers each frame except heartbeats as the test determines, and sends no heartbeats of its own. */
final class ScriptedPeer implements AutoCloseable {
    final AtomicInteger connections = new AtomicInteger();
    final List<RelayFrame> received = new CopyOnWriteArrayList<>();
    private final ServerSocket socket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    private final Script script;

    /** Determines what is sent after a frame has been received. */
    interface Script {
        void onFrame(RelayFrame frame, Connection connection) throws IOException;
    }

    /** The connection on which a frame has been received. */
    record Connection(Socket socket) {
        void send(RelayFrame frame) throws IOException {
            byte[] bytes = frame.toByteArray();
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeInt(bytes.length);
            out.write(bytes);
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    ScriptedPeer(Script script) throws IOException {
        this.script = script;
        startThread(this::accept);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "scripted-peer");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = socket.accept();
                connections.incrementAndGet();
                startThread(() -> serve(connection));
            }
        } catch (IOException e) {
            // The test has closed the peer.
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            DataInputStream in = new DataInputStream(connection.getInputStream());
            in.readInt();
            while (true) {
                RelayFrame frame = RelayFrame.parseFrom(in.readNBytes(in.readInt()));
                if (!frame.hasHeartbeat()) {
                    received.add(frame);
                    script.onFrame(frame, new Connection(connection));
                }
            }
        } catch (IOException e) {
            // The sender has closed the connection.
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
