package org.lovagethread.gateway.relay;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.exchange.ActiveRequest;
import org.lovagethread.gateway.exchange.ResponseWriter;
import org.lovagethread.wire.generated.RelayError;
import org.lovagethread.wire.generated.RelayResponse;
import org.lovagethread.wire.generated.RelayResponseHead;

/**
 * Passes one request to a peer and its response to the caller, both unchanged.
 *
 * <p>The request is offered to another peer only if the one before has certainly not run it.
 */
final class Relay implements ActiveRequest, RelayLink.Listener {
    /** Maximum number of peers that a request is offered to. */
    private static final int MAX_PEERS = 2;

    /** Time for the way back of an error that the peer generates at the deadline, in milliseconds. */
    static final long RETURN_MILLIS = 30;

    /** Time after which a caller should retry if no peer can run its request, in milliseconds. */
    private static final long RETRY_AFTER_MILLIS = 300;

    private final RelayClient client;
    private final ResponseWriter caller;
    private final RelayedRequest request;
    private final long startedMillis;
    private final Set<InetSocketAddress> triedPeers = new HashSet<>();
    private Optional<RelayLink> link = Optional.empty();
    private Optional<InetSocketAddress> lastPeer = Optional.empty();
    private String reason = "no peer has links to upstreams";
    private boolean streaming;
    private boolean ended;

    Relay(RelayClient client, ResponseWriter caller, RelayedRequest request) {
        this.client = client;
        this.caller = caller;
        this.request = request;
        this.startedMillis = client.clock().nowMillis();
    }

    /** Offers the request to a peer, or refuses it at once if there is none. */
    void offer() {
        Optional<RelayPeer> peer = triedPeers.size() < MAX_PEERS ? client.selectPeer(triedPeers) : Optional.empty();
        if (peer.isEmpty()) {
            end(RelayOutcome.NOT_ACCEPTED);
            caller.sendError(ErrorKind.NO_UPSTREAM, RETRY_AFTER_MILLIS);
            return;
        }
        triedPeers.add(peer.get().address());
        RelayLink opened = new RelayLink(client, peer.get().address(), this);
        link = Optional.of(opened);
        lastPeer = Optional.of(opened.peer());
        opened.open(request.body().readableBytes());
    }

    private long remainingMillis() {
        return request.deadlineMillis() - RETURN_MILLIS - client.clock().nowMillis();
    }

    private boolean mayHaveRun() {
        return link.map(RelayLink::isRequestSent).orElse(false);
    }

    @Override
    public void onAccepted() {
        if (mayHaveRun()) {
            onProtocolError();
        } else if (remainingMillis() > 0) {
            link.ifPresent(current ->
                    current.send(RelayCodec.encodeRequest(request.header(), request.body(), remainingMillis())));
        }
    }

    @Override
    public void onNotRun(String refusal) {
        reason = refusal;
        link = Optional.empty();
        if (streaming) {
            cut(RelayOutcome.STREAM_CUT);
        } else {
            offer();
        }
    }

    @Override
    public void onBroken(String cause) {
        reason = cause;
        if (streaming) {
            cut(RelayOutcome.STREAM_CUT);
        } else {
            end(RelayOutcome.BROKEN);
            caller.sendError(ErrorKind.UPSTREAM_FAILED, 0);
        }
    }

    @Override
    public void onResponse(RelayResponse response) {
        if (!mayHaveRun() || streaming) {
            onProtocolError();
            return;
        }
        RelayResponseHead head = response.getHead();
        caller.sendResponse(
                RelayCodec.decodeStatus(head),
                RelayCodec.decodeHeaders(head.getHeadersList()),
                RelayCodec.decodeBytes(response.getBody()));
        end(RelayOutcome.ANSWERED);
    }

    @Override
    public void onError(RelayError error) {
        if (!mayHaveRun() || streaming) {
            onProtocolError();
            return;
        }
        reason = error.getKind();
        caller.sendError(
                RelayCodec.decodeErrorKind(error.getKind()).orElse(ErrorKind.UPSTREAM_FAILED),
                error.getRetryAfterMillis());
        end(RelayOutcome.PEER_ERROR);
    }

    @Override
    public void onStreamStart(RelayResponseHead head) {
        if (!mayHaveRun() || streaming) {
            onProtocolError();
            return;
        }
        streaming = true;
        caller.startStream(RelayCodec.decodeStatus(head), RelayCodec.decodeHeaders(head.getHeadersList()));
    }

    @Override
    public void onStreamData(ByteString data) {
        if (streaming) {
            caller.addStreamData(RelayCodec.decodeBytes(data));
        } else {
            onProtocolError();
        }
    }

    @Override
    public void onReadComplete() {
        if (streaming && !caller.flushStream()) {
            link.ifPresent(current -> current.setReading(false));
        }
    }

    @Override
    public void onStreamEnd(boolean aborted) {
        if (!streaming) {
            onProtocolError();
        } else if (aborted) {
            reason = "aborted by the peer";
            cut(RelayOutcome.STREAM_CUT);
        } else {
            caller.endStream();
            end(RelayOutcome.ANSWERED);
        }
    }

    @Override
    public void onCallerDisconnected() {
        if (!ended) {
            end(RelayOutcome.CALLER_LEFT);
        }
    }

    @Override
    public void onCallerWritable() {
        link.ifPresent(current -> current.setReading(true));
    }

    @Override
    public void tick(long nowMillis) {
        if (ended) {
            return;
        }
        if (nowMillis >= request.deadlineMillis()) {
            reason = "deadline";
            endUnfinished(RelayOutcome.DEADLINE, ErrorKind.OVERLOADED, ErrorKind.DEADLINE_AFTER_SEND);
        } else {
            link.ifPresent(RelayLink::tick);
        }
    }

    @Override
    public void onShutdown(long nowMillis) {
        if (!ended) {
            reason = "the gateway stops";
            endUnfinished(RelayOutcome.STOPPED, ErrorKind.STOPPING, ErrorKind.OUTCOME_UNKNOWN);
        }
    }

    @Override
    public void onInternalError(RuntimeException error) {
        if (!ended) {
            reason = error.toString();
            endUnfinished(RelayOutcome.BROKEN, ErrorKind.UPSTREAM_FAILED, ErrorKind.UPSTREAM_FAILED);
        }
    }

    /** Ends the request at a peer that does not keep to the protocol, so that nothing is known of the request. */
    private void onProtocolError() {
        link.ifPresent(RelayLink::close);
        onBroken("unexpected frame");
    }

    private void endUnfinished(RelayOutcome outcome, ErrorKind ifNotRun, ErrorKind ifMayHaveRun) {
        if (streaming) {
            cut(outcome);
        } else {
            ErrorKind kind = mayHaveRun() ? ifMayHaveRun : ifNotRun;
            end(outcome);
            caller.sendError(kind, 0);
        }
    }

    private void cut(RelayOutcome outcome) {
        end(outcome);
        caller.abort();
    }

    private void end(RelayOutcome outcome) {
        ended = true;
        link.ifPresent(RelayLink::close);
        client.reporter()
                .reportEnd(
                        request,
                        lastPeer,
                        outcome,
                        outcome == RelayOutcome.ANSWERED ? "" : reason,
                        startedMillis,
                        client.clock().nowMillis());
    }
}
