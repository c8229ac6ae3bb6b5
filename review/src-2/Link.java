package org.lovagethread.review2;

import java.io.IOException;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * The path from one machine to one address of the platform, which can be cut in both directions.
 *
 * <p>Bytes that are sent into a cut are resent as TCP does it, after 0.2 s and then after pauses that double, and
 * arrive with the first of these after the cut has healed. They are lost if their sender resets the connection. A
 * connection that is opened during the cut is never established.
 */
final class Link implements AutoCloseable {
    private static final long FIRST_RESEND_NANOS = 200_000_000L;

    private final int targetPort;
    private final ServerSocket listener;
    private final List<Socket> sockets = new ArrayList<>();
    private boolean cut;
    private boolean closed;

    Link(int targetPort) throws IOException {
        this.targetPort = targetPort;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 128);
        start(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    synchronized void cut() {
        cut = true;
    }

    synchronized void heal() {
        cut = false;
        notifyAll();
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        notifyAll();
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    private static void start(Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (IOException | InterruptedException e) {
                // The connection has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() throws IOException {
        while (true) {
            Socket near = listener.accept();
            start(() -> connect(near));
        }
    }

    private void connect(Socket near) throws IOException, InterruptedException {
        boolean established = add(near);
        if (!established) {
            awaitHealed();
            near.close();
            return;
        }
        Socket far = new Socket(InetAddress.getLoopbackAddress(), targetPort);
        add(far);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        start(() -> forward(near, far));
        start(() -> forward(far, near));
    }

    private synchronized boolean add(Socket socket) {
        sockets.add(socket);
        return !cut;
    }

    private synchronized boolean isCut() {
        return cut;
    }

    private synchronized void awaitHealed() throws InterruptedException {
        while (cut && !closed) {
            wait();
        }
    }

    private void forward(Socket from, Socket to) throws IOException, InterruptedException {
        byte[] buffer = new byte[65_536];
        PushbackInputStream in = new PushbackInputStream(from.getInputStream());
        try {
            int count = in.read(buffer);
            while (count >= 0) {
                boolean wasReset = isCut() && !awaitResend(from, in);
                if (wasReset) {
                    break;
                }
                to.getOutputStream().write(buffer, 0, count);
                count = in.read(buffer);
            }
            awaitHealed();
        } catch (IOException e) {
            awaitHealed();
        }
        from.close();
        to.close();
    }

    /** Waits until held bytes arrive; returns false if their sender has reset the connection meanwhile. */
    private boolean awaitResend(Socket from, PushbackInputStream in) throws InterruptedException {
        long sentNanos = System.nanoTime();
        awaitHealed();
        long pauseNanos = FIRST_RESEND_NANOS;
        long resendNanos = sentNanos + pauseNanos;
        while (resendNanos < System.nanoTime()) {
            pauseNanos *= 2;
            resendNanos += pauseNanos;
        }
        Thread.sleep((resendNanos - System.nanoTime()) / 1_000_000);
        return !isReset(from, in);
    }

    /** Returns whether the peer has reset the connection; a connection that it has closed in order is not reset. */
    private static boolean isReset(Socket socket, PushbackInputStream in) {
        try {
            socket.setSoTimeout(1);
            try {
                int next = in.read();
                if (next >= 0) {
                    in.unread(next);
                }
            } catch (SocketTimeoutException e) {
                // The connection is open, and nothing more has been sent.
            }
            socket.setSoTimeout(0);
            return false;
        } catch (IOException e) {
            return true;
        }
    }
}
