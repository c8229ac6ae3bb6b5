package org.lovagethread.wire;

import java.util.Optional;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.call.CallRequest;
import org.lovagethread.core.member.LeavingUpstream;
import org.lovagethread.core.member.PeerState;
import org.lovagethread.core.upstream.UpstreamLoad;
import org.lovagethread.wire.generated.Frame;

/** Codec that converts between {@link PeerMessage} and protobuf frames. */
public final class PeerCodec {

    private PeerCodec() {}

    /**
     * Decodes a frame.
     *
     * @param frame the frame received
     * @return the message, or empty if the frame belongs to the handshake or has an unknown type
     * @throws IllegalArgumentException if a field has an invalid value
     */
    public static Optional<PeerMessage> decode(Frame frame) {
        return switch (frame.getBodyCase()) {
            case HEARTBEAT -> Optional.of(new PeerMessage.Heartbeat(decodePeerState(frame.getHeartbeat())));
            case CONFIGURATION_REQUEST -> Optional.of(new PeerMessage.ConfigurationRequest(
                    frame.getConfigurationRequest().getRevision()));
            case CONFIGURATION_OFFER -> {
                org.lovagethread.wire.generated.ConfigurationOffer offer = frame.getConfigurationOffer();
                yield Optional.of(
                        new PeerMessage.ConfigurationOffer(offer.getRevision(), offer.getDigest(), offer.getSheet()));
            }
            case HAND_OVER -> Optional.of(convertHandOver(frame.getHandOver()));
            case HAND_OVER_REPLY -> Optional.of(new PeerMessage.HandOverReply(
                    frame.getHandOverReply().getTransfer(),
                    frame.getHandOverReply().getAccepted()));
            case HELLO, PROOF, BODY_NOT_SET -> Optional.empty();
        };
    }

    /**
     * Encodes a message.
     *
     * @param message the message to send
     * @return the frame
     */
    public static Frame encode(PeerMessage message) {
        Frame.Builder frame = Frame.newBuilder();
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            frame.setHeartbeat(encodeHeartbeat(heartbeat.state()));
        } else if (message instanceof PeerMessage.ConfigurationRequest request) {
            frame.getConfigurationRequestBuilder().setRevision(request.revision());
        } else if (message instanceof PeerMessage.ConfigurationOffer offer) {
            frame.getConfigurationOfferBuilder()
                    .setRevision(offer.revision())
                    .setDigest(offer.digest())
                    .setSheet(offer.sheet());
        } else if (message instanceof PeerMessage.HandOver handOver) {
            frame.setHandOver(convertHandOver(handOver));
        } else if (message instanceof PeerMessage.HandOverReply reply) {
            frame.getHandOverReplyBuilder().setTransfer(reply.transfer()).setAccepted(reply.accepted());
        }
        return frame.build();
    }

    private static PeerMessage convertHandOver(org.lovagethread.wire.generated.HandOver proto) {
        CallRequest request = CallRequest.builder(0, CallKind.GENERATE)
                .requestId(proto.getRequestId())
                .customer(proto.getCustomer())
                .service(proto.getService())
                .className(proto.getClassName())
                .bodyDigest(proto.getBodyDigest())
                .prefixKey(proto.getPrefixKey())
                .promptTokens(proto.getPromptTokens())
                .maxTokens(proto.getMaxTokens())
                .fromChunk(proto.getFromChunk())
                .deadlineMillis(proto.getDeadlineMillis())
                .build();
        return new PeerMessage.HandOver(proto.getTransfer(), request, proto.getBody(), proto.getLinesList());
    }

    private static org.lovagethread.wire.generated.HandOver convertHandOver(PeerMessage.HandOver message) {
        CallRequest request = message.request();
        return org.lovagethread.wire.generated.HandOver.newBuilder()
                .setTransfer(message.transfer())
                .setRequestId(request.requestId())
                .setCustomer(request.customer())
                .setService(request.service())
                .setClassName(request.className())
                .setBodyDigest(request.bodyDigest())
                .setPrefixKey(request.prefixKey())
                .setPromptTokens(request.promptTokens())
                .setMaxTokens(request.maxTokens())
                .setFromChunk(request.fromChunk())
                .setDeadlineMillis(request.deadlineMillis())
                .setBody(message.body())
                .addAllLines(message.lines())
                .build();
    }

    private static org.lovagethread.wire.generated.Heartbeat encodeHeartbeat(PeerState state) {
        org.lovagethread.wire.generated.Heartbeat.Builder builder =
                org.lovagethread.wire.generated.Heartbeat.newBuilder()
                        .setNode(state.node())
                        .setIncarnation(state.incarnation())
                        .setSequence(state.sequence())
                        .setAddress(state.address())
                        .setPeerAddress(state.peerAddress())
                        .setZone(state.zone())
                        .setStopping(state.stopping())
                        .setRevision(state.revision());
        for (UpstreamLoad load : state.loads()) {
            builder.addLoadsBuilder().setUpstream(load.upstream()).setInFlight(load.inFlight());
        }
        for (LeavingUpstream mark : state.leavingUpstreams()) {
            builder.addLeavingUpstreamsBuilder().setUpstream(mark.upstream()).setDeadlineMillis(mark.deadlineMillis());
        }
        return builder.build();
    }

    private static PeerState decodePeerState(org.lovagethread.wire.generated.Heartbeat proto) {
        return new PeerState(
                proto.getNode(),
                proto.getIncarnation(),
                proto.getSequence(),
                proto.getAddress(),
                proto.getPeerAddress(),
                proto.getZone(),
                proto.getStopping(),
                proto.getRevision(),
                proto.getLoadsList().stream()
                        .map(load -> new UpstreamLoad(load.getUpstream(), load.getInFlight()))
                        .toList(),
                proto.getLeavingUpstreamsList().stream()
                        .map(mark -> new LeavingUpstream(mark.getUpstream(), mark.getDeadlineMillis()))
                        .toList());
    }
}
