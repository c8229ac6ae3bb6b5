package org.lovagethread.review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Sends one request on a connection of its own, as a client does, and reads its answer. */
final class Caller {
    static final String HOST = "pond.example";
    static final String KEY = "k-pond-1";
    private static final int DEADLINE_MILLIS = 2_500;

    /** The answer to a request; the status is zero if the connection ended without a complete answer. */
    record Answer(String requestId, long sentNanos, long endNanos, int status, String body) {}

    private Caller() {}

    static Answer post(String nodeHost, int port, String path, String requestId) {
        return post(nodeHost, port, path, requestId, DEADLINE_MILLIS);
    }

    /** Sends a request and waits for its answer for a time that may be longer than its deadline. */
    static Answer post(String nodeHost, int port, String path, String requestId, int waitMillis) {
        long sentNanos = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(nodeHost, port), Math.max(1_000, waitMillis / 2));
            socket.setSoTimeout(waitMillis);
            String request = "POST " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + requestId
                    + "\r\nX-Request-Deadline: " + DEADLINE_MILLIS + "\r\nAuthorization: Bearer " + KEY
                    + "\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbook";
            sentNanos = System.nanoTime();
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return read(socket, requestId, sentNanos);
        } catch (IOException e) {
            return new Answer(requestId, sentNanos, System.nanoTime(), 0, e.toString());
        }
    }

    /** Sends a request for a stream and returns its events; the status is zero if they are not complete. */
    static Answer stream(String nodeHost, int port, String path, String requestId) {
        return stream(nodeHost, port, path, requestId, "a1:200,b" + Integer.toHexString(requestId.hashCode()) + ":600");
    }

    /** Sends a request for a stream with the parts of its prompt. */
    static Answer stream(String nodeHost, int port, String path, String requestId, String prompt) {
        long sentNanos = System.nanoTime();
        StringBuilder text = new StringBuilder();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(nodeHost, port), 1_000);
            socket.setSoTimeout(12_000);
            String request = "POST " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + requestId
                    + "\r\nX-Request-Deadline: 12000\r\nAuthorization: Bearer " + KEY
                    + "\r\nX-Model-Name: m\r\nX-Token-Usage: 800,50\r\nX-Prompt-Prefix: " + prompt
                    + "\r\nContent-Length: 4\r\nConnection: close\r\n\r\nplan";
            sentNanos = System.nanoTime();
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int next = in.read();
            while (next >= 0) {
                text.append((char) next);
                next = in.read();
            }
        } catch (IOException e) {
            text.append(e);
        }
        boolean complete = text.indexOf(" end\n\n") > 0 && text.toString().endsWith("0\r\n\r\n");
        int status = text.length() > 12 && text.indexOf("HTTP/1.1 ") == 0 ? Integer.parseInt(text.substring(9, 12)) : 0;
        return new Answer(
                requestId, sentNanos, System.nanoTime(), complete || status != 200 ? status : 0, text.toString());
    }

    private static Answer read(Socket socket, String requestId, long sentNanos) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        String line = readLine(in);
        int status = line.length() > 11 ? Integer.parseInt(line.substring(9, 12)) : 0;
        int length = -1;
        while (!(line = readLine(in)).isEmpty()) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).strip());
            }
        }
        byte[] body = length >= 0 ? in.readNBytes(length) : in.readAllBytes();
        boolean complete = body.length == length;
        return new Answer(
                requestId,
                sentNanos,
                System.nanoTime(),
                complete ? status : 0,
                new String(body, StandardCharsets.UTF_8));
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.US_ASCII);
    }
}
