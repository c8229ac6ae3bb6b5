package org.lovagethread.core.command;

import java.util.List;
import java.util.Optional;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.core.member.PeerState;
import org.lovagethread.core.status.NodeStatus;
import org.lovagethread.core.store.Claim;
import org.lovagethread.core.store.Lease;
import org.lovagethread.core.store.StoredAnswer;

/** Marks everything that the decision core can order the other duties to do. */
public sealed interface Command {

    /**
     * Puts a configuration into force on this node.
     *
     * @param revision the revision now in force
     */
    record ActivateConfiguration(long revision) implements Command {}

    /**
     * Answers a query for addresses.
     *
     * @param callId the number of the query
     * @param addresses the addresses in order of preference
     * @param notAfterMillis the time until which the answer may be used, in milliseconds since the epoch
     */
    record AnswerAddress(long callId, List<String> addresses, long notAfterMillis) implements Command {}

    /**
     * Answers a peer that asked this node to carry a stream on.
     *
     * @param callId the number of the call on this node
     * @param accepted whether the stream goes on here
     */
    record AnswerAdoption(long callId, boolean accepted) implements Command {}

    /**
     * Answers a query for the state of the node.
     *
     * @param callId the number of the query
     * @param status the state
     */
    record AnswerStatus(long callId, NodeStatus status) implements Command {}

    /**
     * Connects a caller that came back to the stream of its earlier call.
     *
     * @param callId the number of the call on the new connection, which ends with this command
     * @param streamCallId the number of the call whose stream goes on
     * @param fromChunk the number of chunks that the caller already has
     */
    record AttachCaller(long callId, long streamCallId, int fromChunk) implements Command {}

    /**
     * Cancels an attempt without an effect on the caller.
     *
     * @param attemptId the number of the attempt
     */
    record CancelAttempt(long attemptId) implements Command {}

    /**
     * Releases the whole answer to the caller.
     *
     * @param callId the number of the call
     */
    record CompleteCall(long callId) implements Command {}

    /** Ends the process: nothing is in flight and no address answer names this node any more. */
    record ExitProcess() implements Command {}

    /**
     * Drops the buffered stream of an ended call.
     *
     * @param callId the number of the call
     */
    record ForgetCall(long callId) implements Command {}

    /**
     * Asks a peer to carry a stream on, with the chunks received so far.
     *
     * @param callId the number of the call
     * @param peerAddress the host and port of the peer
     */
    record HandOverCall(long callId, String peerAddress) implements Command {}

    /**
     * Notes a decision about a call for logs, metrics and explanations.
     *
     * @param callId the number of the call
     * @param requestId the caller's identifier of the request
     * @param decision the decision
     * @param detail the upstream, the kind of error or another detail; may be empty
     */
    record NoteDecision(long callId, String requestId, DecisionKind decision, String detail) implements Command {}

    /**
     * Reads the claim on an idempotency key.
     *
     * @param operationId the number of the operation
     * @param key the name of the claim object
     */
    record ReadClaim(long operationId, String key) implements Command {}

    /**
     * Reads the lease that permits orders.
     *
     * @param operationId the number of the operation
     */
    record ReadLease(long operationId) implements Command {}

    /**
     * Ends a stream with a line that tells the caller where it goes on.
     *
     * @param callId the number of the call
     * @param address the host and port for callers
     */
    record RedirectCaller(long callId, String address) implements Command {}

    /**
     * Refuses a call, or ends its stream with an error line.
     *
     * @param callId the number of the call
     * @param kind the kind of error
     * @param retryAtMillis the earliest time for a retry, in milliseconds since the epoch; zero if none makes sense
     */
    record RefuseCall(long callId, ErrorKind kind, long retryAtMillis) implements Command {}

    /**
     * Answers a repeated non-idempotent call with the recorded answer.
     *
     * @param callId the number of the call
     * @param answer the recorded answer
     */
    record ReplayAnswer(long callId, StoredAnswer answer) implements Command {}

    /**
     * Asks a peer for the configuration that it has in force.
     *
     * @param peerAddress the host and port of the peer
     * @param revision the revision that the peer has in force
     */
    record RequestConfiguration(String peerAddress, long revision) implements Command {}

    /**
     * Orders an engine to load a model version, unless the deadline has passed.
     *
     * @param orderId the number of the order
     * @param upstream the identifier of the engine
     * @param address the host and port of the engine
     * @param fence the fencing number of the lease
     * @param version the model and version, as {@code model@version}
     * @param notAfterMillis the time after which the order must not be sent, in milliseconds since the epoch
     */
    record SendOrder(long orderId, String upstream, String address, long fence, String version, long notAfterMillis)
            implements Command {}

    /**
     * Sends a call to an upstream.
     *
     * @param attemptId the number of the attempt
     * @param callId the number of the call
     * @param kind the kind of the call
     * @param upstream the identifier of the upstream
     * @param address the host and port of the upstream
     * @param priority the priority passed to an engine
     * @param fromChunk the number of chunks to leave out of a stream
     * @param cacheSource the address of the engine that holds the KV cache of the call, if it can be imported
     * @param deadlineMillis the time at which the attempt must have ended, in milliseconds since the epoch
     */
    record StartAttempt(
            long attemptId,
            long callId,
            CallKind kind,
            String upstream,
            String address,
            int priority,
            int fromChunk,
            Optional<String> cacheSource,
            long deadlineMillis)
            implements Command {}

    /**
     * Sends this node's state to all peers.
     *
     * @param state the state
     */
    record TellPeers(PeerState state) implements Command {}

    /**
     * Writes the claim on an idempotency key if it still has the expected version.
     *
     * @param operationId the number of the operation
     * @param key the name of the claim object
     * @param expectedVersion the version that must be stored; zero if no object may exist
     * @param claim the claim to store
     */
    record WriteClaim(long operationId, String key, long expectedVersion, Claim claim) implements Command {}

    /**
     * Writes the lease that permits orders if it still has the expected version.
     *
     * @param operationId the number of the operation
     * @param expectedVersion the version that must be stored; zero if no object may exist
     * @param lease the lease to store
     */
    record WriteLease(long operationId, long expectedVersion, Lease lease) implements Command {}
}
