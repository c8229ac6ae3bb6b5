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
 * One open call: the content for the upstream and the part of the response that has been received.
 *
 * <p>Except for {@link #execute}, {@link #isAwaited} and the accessors of final fields, all methods must be called on
 * the event loop of the call.
 */
public final class OpenCall {
    /** The maximum size of a buffered stream, in characters. */
    static final int MAX_STREAM_CHARACTERS = 8 * 1024 * 1024;

    private final CallContent content;
    private final LongConsumer connectionLostListener;
    private final EventLoop loop;
    private final CallRequest request;
    private final List<String> lines = new ArrayList<>();
    private CallerConnection connection;
    private int connectionFromChunk;
    private StoredAnswer answer;
    private int streamCharacters;
    private String lastLine;
    private long activeAttemptId;
    private volatile boolean awaited;

    /**
     * Creates a call without a response.
     *
     * @param request the call
     * @param content the content for the upstream
     * @param loop the event loop of the call
     * @param connectionLostListener receives the identifier of the call when the connection of its caller is lost
     */
    public OpenCall(CallRequest request, CallContent content, EventLoop loop, LongConsumer connectionLostListener) {
        this.request = Objects.requireNonNull(request, "request");
        this.content = Objects.requireNonNull(content, "content");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.connectionLostListener = Objects.requireNonNull(connectionLostListener, "connectionLostListener");
    }

    /**
     * Starts an attempt, which becomes the only one that may add to the stream.
     *
     * @param attemptId the identifier of the attempt
     * @return the number of the last chunk of the stream, after which the attempt continues
     */
    public int beginAttempt(long attemptId) {
        activeAttemptId = attemptId;
        return lastChunk();
    }

    /**
     * Adds a chunk to the stream.
     *
     * @param attemptId the identifier of the attempt that received the chunk
     * @param number the number of the chunk, from 1
     * @param text the text of the chunk
     * @return the result
     */
    public ChunkResult addChunk(long attemptId, int number, String text) {
        int last = lastChunk();
        if (attemptId != activeAttemptId || number <= last) {
            return ChunkResult.DUPLICATE;
        }
        streamCharacters += text.length();
        if (number != last + 1 || streamCharacters > MAX_STREAM_CHARACTERS) {
            return ChunkResult.REJECTED;
        }
        lines.add(ReplyFormatter.chunkLine(number, text));
        if (connection != null) {
            connection.startStream(this, connectionFromChunk);
            connection.onLinesAdded();
        }
        return ChunkResult.ADDED;
    }

    /**
     * Returns the content for the upstream.
     *
     * @return the content
     */
    public CallContent content() {
        return content;
    }

    /**
     * Sets the response of a plain service, which is sent when the call completes.
     *
     * @param completeAnswer the complete response
     */
    public void setAnswer(StoredAnswer completeAnswer) {
        answer = completeAnswer;
    }

    /**
     * Returns the number of the last chunk of the stream.
     *
     * @return the number, counted from 1; zero if there is no chunk
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
    public void execute(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            loop.execute(task);
        }
    }

    /**
     * Adds the chunk lines that another node received before it handed the stream over.
     *
     * @param receivedLines the lines
     */
    public void addReceivedLines(List<String> receivedLines) {
        lines.addAll(receivedLines);
    }

    /**
     * Checks whether a caller still waits for a part of the response. This method may be called on any thread.
     *
     * @return true if a connection is waiting
     */
    public boolean isAwaited() {
        return awaited;
    }

    /**
     * Prevents all attempts from adding to the stream.
     *
     * @return the chunk lines received so far
     */
    public List<String> seal() {
        activeAttemptId = 0;
        return List.copyOf(lines);
    }

    Optional<String> chunkLine(int number) {
        int index = number - request.fromChunk() - 1;
        return index >= 0 && index < lines.size() ? Optional.of(lines.get(index)) : Optional.empty();
    }

    Optional<String> lastLine() {
        return Optional.ofNullable(lastLine);
    }

    void complete() {
        if (request.kind() == CallKind.GENERATE) {
            closeStream(ReplyFormatter.endLine(lastChunk()));
        } else if (connection != null) {
            connection.reply(new CallerReply.Answer(answer));
        }
    }

    void setConnection(CallerConnection newConnection, int fromChunk) {
        if (connection != null) {
            connection.supersede();
        }
        connection = newConnection;
        awaited = true;
        connectionFromChunk = Math.max(fromChunk, request.fromChunk());
        boolean hasPendingOutput = lastLine != null || lastChunk() > connectionFromChunk;
        if (hasPendingOutput) {
            newConnection.startStream(this, connectionFromChunk);
        }
    }

    /** Handles the loss of the connection before the response was delivered. */
    void onConnectionLost() {
        onDisconnect(connection);
    }

    void onDisconnect(CallerConnection closed) {
        if (connection != null && connection == closed && awaited) {
            connection = null;
            awaited = false;
            connectionLostListener.accept(request.callId());
        }
    }

    /** Attaches the connection of a reconnecting caller, or reports it as lost if the caller has left again. */
    void reattach(Optional<CallerConnection> newConnection, int fromChunk) {
        if (newConnection.isPresent()) {
            setConnection(newConnection.get(), fromChunk);
        } else {
            connectionLostListener.accept(request.callId());
        }
    }

    /** Removes and returns the connection of the caller, or empty if the caller has left. */
    Optional<CallerConnection> detach() {
        Optional<CallerConnection> detached = Optional.ofNullable(connection);
        connection = null;
        awaited = false;
        return detached;
    }

    void redirect(String address) {
        closeStream(ReplyFormatter.movedLine(address));
    }

    void refuse(ErrorKind kind, long retryAtMillis) {
        boolean sendAsLastLine = connection == null || connection.hasReplied() || lastChunk() > request.fromChunk();
        if (request.kind() == CallKind.GENERATE && sendAsLastLine) {
            closeStream(ReplyFormatter.errorLine(kind, retryAtMillis));
        } else if (connection != null) {
            connection.reply(new CallerReply.Refusal(kind, retryAtMillis));
        }
    }

    void replay(StoredAnswer stored) {
        if (connection != null) {
            connection.reply(new CallerReply.Answer(stored));
        }
    }

    void onStreamDelivered() {
        awaited = false;
    }

    private void closeStream(String line) {
        lastLine = line;
        if (connection != null) {
            connection.startStream(this, connectionFromChunk);
            connection.onLinesAdded();
        }
    }
}
