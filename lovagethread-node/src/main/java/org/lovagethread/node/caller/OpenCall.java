package org.lovagethread.node.caller;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.call.CallRequest;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.core.store.StoredAnswer;

/**
 * Holds the bytes of one call: what the upstream receives, and the answer as far as it has arrived.
 *
 * <p>All methods but {@link #run} and the accessors of final fields are used on the event loop of the call.
 */
public final class OpenCall {
    /** Largest size of a buffered stream, in characters. */
    static final int MOST_STREAM_CHARACTERS = 8 * 1024 * 1024;

    private final CallContent content;
    private final LongConsumer lost;
    private final EventLoop loop;
    private final CallRequest request;
    private final List<String> lines = new ArrayList<>();
    private CallerConnection connection;
    private int connectionFrom;
    private StoredAnswer answer;
    private int characters;
    private String closing;
    private long owner;
    private volatile boolean awaited;

    /**
     * Creates a call without an answer.
     *
     * @param request the call
     * @param content what the upstream receives
     * @param loop the event loop of the call
     * @param lost takes the number of the call when its caller's connection is lost
     */
    public OpenCall(CallRequest request, CallContent content, EventLoop loop, LongConsumer lost) {
        this.request = Objects.requireNonNull(request, "request");
        this.content = Objects.requireNonNull(content, "content");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.lost = Objects.requireNonNull(lost, "lost");
    }

    /**
     * Makes an attempt the only one that may add to the stream.
     *
     * @param attemptId the number of the attempt
     * @return the number of chunks that the stream holds, after which the attempt goes on
     */
    public int begin(long attemptId) {
        owner = attemptId;
        return lastChunk();
    }

    /**
     * Adds a chunk to the stream.
     *
     * @param attemptId the number of the attempt that received the chunk
     * @param number the number of the chunk, from 1
     * @param text the text of the chunk
     * @return what came of it
     */
    public ChunkResult addChunk(long attemptId, int number, String text) {
        int last = lastChunk();
        if (attemptId != owner || number <= last) {
            return ChunkResult.DUPLICATE;
        }
        characters += text.length();
        if (number != last + 1 || characters > MOST_STREAM_CHARACTERS) {
            return ChunkResult.REJECTED;
        }
        lines.add(Replies.chunkLine(number, text));
        if (connection != null) {
            connection.startStream(this, connectionFrom);
            connection.linesAdded();
        }
        return ChunkResult.ADDED;
    }

    /**
     * Returns what the upstream receives.
     *
     * @return the content
     */
    public CallContent content() {
        return content;
    }

    /**
     * Holds the answer of a plain service until it is released.
     *
     * @param whole the whole answer
     */
    public void holdAnswer(StoredAnswer whole) {
        answer = whole;
    }

    /**
     * Returns the number of chunks that the stream holds.
     *
     * @return the number of the last chunk
     */
    public int lastChunk() {
        return request.fromChunk() + lines.size();
    }

    /**
     * Returns the event loop of the call.
     *
     * @return the event loop
     */
    public EventLoop loop() {
        return loop;
    }

    /**
     * Returns the call.
     *
     * @return the call
     */
    public CallRequest request() {
        return request;
    }

    /**
     * Runs a task on the event loop of the call.
     *
     * @param task the task
     */
    public void run(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            loop.execute(task);
        }
    }

    /**
     * Takes over the chunk lines that another node received.
     *
     * @param received the lines
     */
    public void adopt(List<String> received) {
        lines.addAll(received);
    }

    /**
     * Tests whether a caller still waits for a part of the answer; may be called on any thread.
     *
     * @return true while a connection waits
     */
    public boolean awaited() {
        return awaited;
    }

    /**
     * Keeps all attempts from adding to the stream.
     *
     * @return the chunk lines received until now
     */
    public List<String> seal() {
        owner = 0;
        return List.copyOf(lines);
    }

    Optional<String> chunkLine(int number) {
        int index = number - request.fromChunk() - 1;
        return index >= 0 && index < lines.size() ? Optional.of(lines.get(index)) : Optional.empty();
    }

    Optional<String> closingLine() {
        return Optional.ofNullable(closing);
    }

    void complete() {
        if (request.kind() == CallKind.GENERATE) {
            close(Replies.endLine(lastChunk()));
        } else if (connection != null) {
            connection.reply(new CallerReply.Answer(answer));
        }
    }

    void connect(CallerConnection fresh, int fromChunk) {
        if (connection != null) {
            connection.supersede();
        }
        connection = fresh;
        awaited = true;
        connectionFrom = Math.max(fromChunk, request.fromChunk());
        boolean somethingToSend = closing != null || lastChunk() > connectionFrom;
        if (somethingToSend) {
            fresh.startStream(this, connectionFrom);
        }
    }

    /** Handles a connection that its caller closed before the answer was delivered. */
    void connectionLost() {
        disconnected(connection);
    }

    void disconnected(CallerConnection closed) {
        if (connection != null && connection == closed && awaited) {
            connection = null;
            awaited = false;
            lost.accept(request.callId());
        }
    }

    /** Connects a caller that came back, or notes that it has left again. */
    void attach(Optional<CallerConnection> fresh, int fromChunk) {
        if (fresh.isPresent()) {
            connect(fresh.get(), fromChunk);
        } else {
            lost.accept(request.callId());
        }
    }

    /** Gives up the connection of a caller; empty if the caller has left. */
    Optional<CallerConnection> detach() {
        Optional<CallerConnection> detached = Optional.ofNullable(connection);
        connection = null;
        awaited = false;
        return detached;
    }

    void redirect(String address) {
        close(Replies.movedLine(address));
    }

    void refuse(ErrorKind kind, long retryAtMillis) {
        boolean streaming = connection == null || connection.answered() || lastChunk() > request.fromChunk();
        if (request.kind() == CallKind.GENERATE && streaming) {
            close(Replies.errorLine(kind, retryAtMillis));
        } else if (connection != null) {
            connection.reply(new CallerReply.Refusal(kind, retryAtMillis));
        }
    }

    void replay(StoredAnswer stored) {
        if (connection != null) {
            connection.reply(new CallerReply.Answer(stored));
        }
    }

    void streamDelivered() {
        awaited = false;
    }

    private void close(String line) {
        closing = line;
        if (connection != null) {
            connection.startStream(this, connectionFrom);
            connection.linesAdded();
        }
    }
}
