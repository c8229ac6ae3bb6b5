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

/** Marks everything that the decision core can be told. */
public sealed interface Event {

    /**
     * A caller asks which node to use.
     *
     * @param callId the number of the query, unique in this process
     * @param service the service to be called
     * @param customer the customer who calls
     * @param session an identifier of the session, or an empty text
     */
    record AddressAsked(long callId, String service, String customer, String session) implements Event {}

    /**
     * An attempt has ended.
     *
     * @param attemptId the number of the attempt
     * @param outcome how it ended
     * @param lastChunk the number of chunks that the caller's stream holds
     * @param answer the answer of a non-idempotent call that completed
     */
    record AttemptEnded(long attemptId, AttemptOutcome outcome, int lastChunk, Optional<StoredAnswer> answer)
            implements Event {}

    /**
     * An attempt has added chunks to the caller's stream.
     *
     * @param attemptId the number of the attempt
     * @param lastChunk the number of chunks that the caller's stream holds
     */
    record AttemptProgressed(long attemptId, int lastChunk) implements Event {}

    /**
     * A peer that is about to stop asks this node to carry a stream on.
     *
     * @param request the call, numbered by this node
     * @param heldChunks the number of chunks received so far, from the first one after {@code request.fromChunk()}
     */
    record CallAdopted(CallRequest request, int heldChunks) implements Event {}

    /**
     * A call has arrived.
     *
     * @param request the call
     */
    record CallArrived(CallRequest request) implements Event {}

    /**
     * The caller closed its connection.
     *
     * @param callId the number of the call
     */
    record CallerLeft(long callId) implements Event {}

    /**
     * A read or a conditional write of a claim has ended.
     *
     * @param operationId the number of the operation
     * @param status the result
     * @param version the version stored now; zero when unknown or absent
     * @param claim the claim stored now, when the status tells it
     */
    record ClaimReplied(long operationId, StoreStatus status, long version, Optional<Claim> claim) implements Event {}

    /**
     * A complete configuration with a verified digest was received.
     *
     * @param configuration the configuration
     */
    record ConfigurationOffered(Configuration configuration) implements Event {}

    /**
     * A peer has answered whether it carries a stream on.
     *
     * @param callId the number of the call on this node
     * @param accepted whether the peer carries the stream on; false also when it gave no answer
     */
    record HandOverReplied(long callId, boolean accepted) implements Event {}

    /**
     * A read or a conditional write of the lease has ended.
     *
     * @param operationId the number of the operation
     * @param status the result
     * @param version the version stored now; zero when unknown or absent
     * @param lease the lease stored now, when the status tells it
     */
    record LeaseReplied(long operationId, StoreStatus status, long version, Optional<Lease> lease) implements Event {}

    /**
     * An order to an engine has ended.
     *
     * @param orderId the number of the order
     * @param outcome how it ended
     */
    record OrderEnded(long orderId, OrderOutcome outcome) implements Event {}

    /**
     * The Object API listed the nodes.
     *
     * @param nodes the names of the nodes, this node included
     */
    record NodesListed(List<String> nodes) implements Event {}

    /**
     * A peer sent its state.
     *
     * @param state the state of the peer
     */
    record PeerHeard(PeerState state) implements Event {}

    /**
     * The Cloud API announced that an instance will be reclaimed.
     *
     * @param upstream the identifier of the instance
     * @param deadlineMillis the time of the reclaim in milliseconds since the epoch
     */
    record ReclaimNoticed(String upstream, long deadlineMillis) implements Event {}

    /**
     * An operator asks for the state of the node.
     *
     * @param callId the number of the query, unique in this process
     */
    record StatusAsked(long callId) implements Event {}

    /** The operator or the platform asked this node to stop. */
    record StopRequested() implements Event {}

    /** Time has passed. */
    record Ticked() implements Event {}

    /**
     * The instance list was read.
     *
     * @param upstreams all instances on the list
     */
    record UpstreamsListed(List<UpstreamInfo> upstreams) implements Event {}
}
