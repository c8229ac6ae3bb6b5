package org.lovagethread.core.event;

import java.util.List;
import java.util.Optional;
import org.lovagethread.core.call.AttemptOutcome;
import org.lovagethread.core.call.CallRequest;
import org.lovagethread.core.config.Configuration;
import org.lovagethread.core.lease.OrderOutcome;
import org.lovagethread.core.member.PeerState;
import org.lovagethread.core.store.Claim;
import org.lovagethread.core.store.Lease;
import org.lovagethread.core.store.StoreStatus;
import org.lovagethread.core.store.StoredAnswer;
import org.lovagethread.core.upstream.UpstreamInfo;

/** An input event of the core. */
public sealed interface Event {

    /**
     * A caller queries the addresses of nodes to use.
     *
     * @param callId the identifier of the query, unique in this process
     * @param service the name of the requested service
     * @param customer the name of the customer
     * @param session the session identifier, or an empty string
     */
    record AddressAsked(long callId, String service, String customer, String session) implements Event {}

    /**
     * An attempt has ended.
     *
     * @param attemptId the identifier of the attempt
     * @param outcome the outcome of the attempt
     * @param lastChunk the number of chunks in the caller's stream
     * @param answer the response to a non-idempotent call that completed
     */
    record AttemptEnded(long attemptId, AttemptOutcome outcome, int lastChunk, Optional<StoredAnswer> answer)
            implements Event {}

    /**
     * An attempt has appended chunks to the caller's stream.
     *
     * @param attemptId the identifier of the attempt
     * @param lastChunk the number of chunks in the caller's stream
     */
    record AttemptProgressed(long attemptId, int lastChunk) implements Event {}

    /**
     * A peer that is shutting down offers a stream to this node.
     *
     * @param request the call, with a call identifier assigned by this node
     * @param heldChunks the number of chunks handed over, counted from the first one after {@code request.fromChunk()}
     */
    record CallAdopted(CallRequest request, int heldChunks) implements Event {}

    /**
     * A call has arrived.
     *
     * @param request the call
     */
    record CallArrived(CallRequest request) implements Event {}

    /**
     * A caller has closed its connection.
     *
     * @param callId the identifier of the call
     */
    record CallerLeft(long callId) implements Event {}

    /**
     * A read or a conditional write of a claim has ended.
     *
     * @param operationId the identifier of the store operation
     * @param status the result
     * @param version the stored version; zero if unknown or absent
     * @param claim the stored claim, if it is part of the reply
     */
    record ClaimReplied(long operationId, StoreStatus status, long version, Optional<Claim> claim) implements Event {}

    /**
     * A complete configuration was received and its digest verified.
     *
     * @param configuration the configuration
     */
    record ConfigurationOffered(Configuration configuration) implements Event {}

    /**
     * The hand-over of a stream to a peer has succeeded or failed.
     *
     * @param callId the identifier of the call on this node
     * @param accepted whether the peer continues the stream; false if it declined or did not reply
     */
    record HandOverReplied(long callId, boolean accepted) implements Event {}

    /**
     * A read or a conditional write of the lease has ended.
     *
     * @param operationId the identifier of the store operation
     * @param status the result
     * @param version the stored version; zero if unknown or absent
     * @param lease the stored lease, if it is part of the reply
     */
    record LeaseReplied(long operationId, StoreStatus status, long version, Optional<Lease> lease) implements Event {}

    /**
     * An order to an engine has ended.
     *
     * @param orderId the identifier of the order
     * @param outcome the outcome of the order
     */
    record OrderEnded(long orderId, OrderOutcome outcome) implements Event {}

    /**
     * The list of nodes was read from the Object API.
     *
     * @param nodes the names of all nodes, including this node
     */
    record NodesListed(List<String> nodes) implements Event {}

    /**
     * A peer has sent its state.
     *
     * @param state the state of the peer
     */
    record PeerHeard(PeerState state) implements Event {}

    /**
     * The Cloud API announced that an instance will be reclaimed.
     *
     * @param upstream the identifier of the instance
     * @param deadlineMillis the time of the reclaim, in milliseconds since the epoch
     */
    record ReclaimNoticed(String upstream, long deadlineMillis) implements Event {}

    /**
     * An operator queries the status of the node.
     *
     * @param callId the identifier of the query, unique in this process
     */
    record StatusAsked(long callId) implements Event {}

    /** The operator or the platform has requested the shutdown of this node. */
    record StopRequested() implements Event {}

    /** The periodic timer has fired. */
    record Ticked() implements Event {}

    /**
     * The list of upstream instances was read.
     *
     * @param upstreams all listed instances
     */
    record UpstreamsListed(List<UpstreamInfo> upstreams) implements Event {}
}
