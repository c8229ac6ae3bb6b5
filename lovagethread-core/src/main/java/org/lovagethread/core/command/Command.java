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

/** An action that the core requests from the other components of the node. */
public sealed interface Command {

    /**
     * Activates a configuration on this node.
     *
     * @param revision the revision of the configuration
     */
    record ActivateConfiguration(long revision) implements Command {}

    /**
     * Responds to an address query.
     *
     * @param callId the identifier of the query
     * @param addresses the addresses in order of preference
     * @param notAfterMillis the time at which the addresses expire, in milliseconds since the epoch
     */
    record AnswerAddress(long callId, List<String> addresses, long notAfterMillis) implements Command {}

    /**
     * Replies to a peer that offered a stream to this node.
     *
     * @param callId the identifier of the call on this node
     * @param accepted whether this node continues the stream
     */
    record AnswerAdoption(long callId, boolean accepted) implements Command {}

    /**
     * Responds to a status query.
     *
     * @param callId the identifier of the query
     * @param status the status of the node
     */
    record AnswerStatus(long callId, NodeStatus status) implements Command {}

    /**
     * Attaches a reconnecting caller to the stream of its earlier call.
     *
     * @param callId the identifier of the call on the new connection; it is invalid after this command
     * @param streamCallId the identifier of the call whose stream is continued
     * @param fromChunk the number of chunks that the caller has already received
     */
    record AttachCaller(long callId, long streamCallId, int fromChunk) implements Command {}

    /**
     * Cancels an attempt without affecting the caller.
     *
     * @param attemptId the identifier of the attempt
     */
    record CancelAttempt(long attemptId) implements Command {}

    /**
     * Completes the response to the caller.
     *
     * @param callId the identifier of the call
     */
    record CompleteCall(long callId) implements Command {}

    /** Exits the process; nothing is in flight, and all resolved addresses of this node have expired. */
    record ExitProcess() implements Command {}

    /**
     * Discards the buffered stream of a call that has ended.
     *
     * @param callId the identifier of the call
     */
    record ForgetCall(long callId) implements Command {}

    /**
     * Offers a stream to a peer, together with the chunks received so far.
     *
     * @param callId the identifier of the call
     * @param peerAddress the host and port of the peer
     */
    record HandOverCall(long callId, String peerAddress) implements Command {}

    /**
     * Records a decision about a call for logs, metrics and the explanation of requests.
     *
     * @param callId the identifier of the call
     * @param requestId the request identifier assigned by the caller
     * @param decision the decision
     * @param detail the upstream, the error kind or another detail; may be empty
     */
    record NoteDecision(long callId, String requestId, DecisionKind decision, String detail) implements Command {}

    /**
     * Reads the claim on an idempotency key.
     *
     * @param operationId the identifier of the store operation
     * @param key the name of the claim object
     */
    record ReadClaim(long operationId, String key) implements Command {}

    /**
     * Reads the leader lease, which a node must hold to send orders.
     *
     * @param operationId the identifier of the store operation
     */
    record ReadLease(long operationId) implements Command {}

    /**
     * Ends a stream with a redirect to the node that continues it.
     *
     * @param callId the identifier of the call
     * @param address the host and port at which that node accepts callers
     */
    record RedirectCaller(long callId, String address) implements Command {}

    /**
     * Refuses a call, or ends its stream with an error line.
     *
     * @param callId the identifier of the call
     * @param kind the error kind
     * @param retryAtMillis the earliest time for a retry, in milliseconds since the epoch; zero if not retryable
     */
    record RefuseCall(long callId, ErrorKind kind, long retryAtMillis) implements Command {}

    /**
     * Responds to a retry of a non-idempotent call with the recorded response.
     *
     * @param callId the identifier of the call
     * @param answer the recorded response
     */
    record ReplayAnswer(long callId, StoredAnswer answer) implements Command {}

    /**
     * Requests the active configuration of a peer.
     *
     * @param peerAddress the host and port of the peer
     * @param revision the revision that is active on the peer
     */
    record RequestConfiguration(String peerAddress, long revision) implements Command {}

    /**
     * Orders an engine to load a model version, unless the deadline has passed.
     *
     * @param orderId the identifier of the order
     * @param upstream the identifier of the engine
     * @param address the host and port of the engine
     * @param fence the fencing token of the lease
     * @param version the model and version, as {@code model@version}
     * @param notAfterMillis the time after which the order must not be sent, in milliseconds since the epoch
     */
    record SendOrder(long orderId, String upstream, String address, long fence, String version, long notAfterMillis)
            implements Command {}

    /**
     * Sends a call to an upstream.
     *
     * @param attemptId the identifier of the attempt
     * @param callId the identifier of the call
     * @param kind the kind of the call
     * @param upstream the identifier of the upstream
     * @param address the host and port of the upstream
     * @param priority the priority passed to an engine
     * @param fromChunk the number of leading chunks to skip in a stream
     * @param cacheSource the address of the engine from which to import the KV cache of the call; empty to recompute it
     * @param deadlineMillis the time by which the attempt must end, in milliseconds since the epoch
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
     * Writes the claim on an idempotency key if the stored version matches the expected one.
     *
     * @param operationId the identifier of the store operation
     * @param key the name of the claim object
     * @param expectedVersion the expected stored version; zero if the object must not exist
     * @param claim the claim to store
     */
    record WriteClaim(long operationId, String key, long expectedVersion, Claim claim) implements Command {}

    /**
     * Writes the leader lease if the stored version matches the expected one.
     *
     * @param operationId the identifier of the store operation
     * @param expectedVersion the expected stored version; zero if the object must not exist
     * @param lease the lease to store
     */
    record WriteLease(long operationId, long expectedVersion, Lease lease) implements Command {}
}
