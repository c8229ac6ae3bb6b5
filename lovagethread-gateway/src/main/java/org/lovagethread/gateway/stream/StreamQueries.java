package org.lovagethread.gateway.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.lovagethread.wire.generated.GatewayDatagram;
import org.lovagethread.wire.generated.StreamQuery;
import org.lovagethread.wire.generated.StreamReply;

/**
 * Asks the peers where streams began. The gateway at which a stream began knows it for certain, however old the lists of
 * both gateways are.
 */
public final class StreamQueries {
    /** Time for which replies are awaited, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 100;

    /** Number of bits of the identifiers of the queries of one process. */
    private static final int ID_BITS = 20;

    private final StreamVersions versions;
    private final String host;
    private final Supplier<Set<String>> livePeers;
    private final BiConsumer<GatewayDatagram, Set<String>> sender;
    private final Map<Long, Pending> pendingById = new HashMap<>();
    private long lastId;

    private record Pending(Set<String> awaited, long deadlineMillis, Consumer<Optional<String>> consumer) {}

    /**
     * Creates queries.
     *
     * @param versions the streams that began at this gateway
     * @param host the IP address of this gateway
     * @param incarnation a number that differs from those of earlier processes of this gateway
     * @param livePeers supplies the IP addresses of the peers that are heard
     * @param sender sends a datagram to IP addresses
     */
    public StreamQueries(
            StreamVersions versions,
            String host,
            long incarnation,
            Supplier<Set<String>> livePeers,
            BiConsumer<GatewayDatagram, Set<String>> sender) {
        this.versions = versions;
        this.host = host;
        this.lastId = incarnation << ID_BITS;
        this.livePeers = livePeers;
        this.sender = sender;
    }

    /**
     * Asks for the version at which a stream began.
     *
     * @param service the name of the service
     * @param streamId the identifier of the stream
     * @param nowMillis the current time in milliseconds
     * @param consumer receives the version, at once or later; empty if no peer knows it
     */
    void ask(String service, String streamId, long nowMillis, Consumer<Optional<String>> consumer) {
        Set<String> peers = new HashSet<>(livePeers.get());
        if (peers.isEmpty()) {
            consumer.accept(Optional.empty());
            return;
        }
        lastId++;
        pendingById.put(lastId, new Pending(peers, nowMillis + TIMEOUT_MILLIS, consumer));
        StreamQuery query = StreamQuery.newBuilder()
                .setId(lastId)
                .setService(service)
                .setKey(BegunStream.keyOf(streamId))
                .setHost(host)
                .build();
        sender.accept(GatewayDatagram.newBuilder().addStreamQueries(query).build(), Set.copyOf(peers));
    }

    /**
     * Handles the queries and replies in a datagram of a peer.
     *
     * @param datagram the datagram
     */
    public void receive(GatewayDatagram datagram) {
        datagram.getStreamQueriesList().forEach(this::answer);
        datagram.getStreamRepliesList().forEach(this::onReply);
    }

    private void answer(StreamQuery query) {
        StreamReply.Builder reply =
                StreamReply.newBuilder().setId(query.getId()).setHost(host);
        versions.version(query.getService(), query.getKey()).ifPresent(reply::setVersion);
        sender.accept(GatewayDatagram.newBuilder().addStreamReplies(reply).build(), Set.of(query.getHost()));
    }

    private void onReply(StreamReply reply) {
        Pending pending = pendingById.get(reply.getId());
        if (pending == null || !pending.awaited().remove(reply.getHost())) {
            return;
        }
        if (reply.hasVersion()) {
            end(reply.getId(), Optional.of(reply.getVersion()));
        } else if (pending.awaited().isEmpty()) {
            end(reply.getId(), Optional.empty());
        }
    }

    /**
     * Ends the queries whose replies have been awaited for too long.
     *
     * @param nowMillis the current time in milliseconds
     */
    void tick(long nowMillis) {
        List<Long> expired = new ArrayList<>();
        pendingById.forEach((id, pending) -> {
            if (nowMillis >= pending.deadlineMillis()) {
                expired.add(id);
            }
        });
        expired.forEach(id -> end(id, Optional.empty()));
    }

    private void end(long id, Optional<String> version) {
        pendingById.remove(id).consumer().accept(version);
    }
}
