package org.lovagethread.gateway.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * Writes log lines on a dedicated thread.
 *
 * <p>Adding a line never blocks. If the queue is full, the line is dropped, and the number of dropped lines is logged
 * later.
 */
public final class EventLog {
    private static final int QUEUE_CAPACITY = 4_096;
    private static final long WRITE_INTERVAL_NANOS = 100_000_000L;
    private static final int BATCH_CHARS = 32_768;

    private final MpscArrayQueue<String> queue = new MpscArrayQueue<>(QUEUE_CAPACITY);
    private final AtomicLong droppedLines = new AtomicLong();
    private final OutputStream out;
    private final String node;
    private volatile boolean closed;
    private Thread writer;

    /**
     * Creates a log.
     *
     * @param node the name of this gateway, which each line contains
     * @param out receives the lines
     */
    public EventLog(String node, OutputStream out) {
        this.node = node;
        this.out = out;
    }

    /** Starts the writer thread. */
    public void start() {
        writer = new Thread(this::run, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Creates a line with the current time and the name of this gateway.
     *
     * @param event the name of the event
     * @return the line
     */
    public LogLine line(String event) {
        return new LogLine(event).put("at", Instant.now().toString()).put("node", node);
    }

    /**
     * Adds a line to the queue, or drops it if the queue is full.
     *
     * @param line the line
     */
    public void add(LogLine line) {
        if (!queue.offer(line.finish())) {
            droppedLines.incrementAndGet();
        }
    }

    /**
     * Returns the number of dropped lines, plus one for each failed write.
     *
     * @return the number since the start
     */
    public long droppedLines() {
        return droppedLines.get();
    }

    /** Writes the queued lines and stops the writer thread. Waits for at most 500 ms. */
    public void close() {
        closed = true;
        LockSupport.unpark(writer);
        try {
            writer.join(500);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        long reported = 0;
        while (true) {
            boolean isLastPass = closed;
            long total = droppedLines.get();
            if (total > reported) {
                write(line("log-lines-dropped").put("count", total - reported).finish());
                reported = total;
            }
            drain();
            if (isLastPass) {
                return;
            }
            LockSupport.parkNanos(WRITE_INTERVAL_NANOS);
        }
    }

    private void drain() {
        StringBuilder batch = new StringBuilder();
        String line = queue.poll();
        while (line != null) {
            batch.append(line);
            if (batch.length() >= BATCH_CHARS) {
                write(batch.toString());
                batch.setLength(0);
            }
            line = queue.poll();
        }
        if (batch.length() > 0) {
            write(batch.toString());
        }
    }

    private void write(String text) {
        try {
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        } catch (IOException e) {
            droppedLines.incrementAndGet();
        }
    }
}
