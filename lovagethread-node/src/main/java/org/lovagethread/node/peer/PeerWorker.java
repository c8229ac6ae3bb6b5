package org.lovagethread.node.peer;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.node.supplier.SheetCache;
import org.lovagethread.node.worker.MpscQueue;
import org.lovagethread.node.worker.Worker;
import org.lovagethread.wire.PeerKey;
import org.lovagethread.wire.PeerListener;
import org.lovagethread.wire.PeerMessage;
import org.lovagethread.wire.PeerTransport;

/** Sends the messages of the core to the peers and passes the messages of the peers to the core. */
public final class PeerWorker implements Worker, PeerListener {
    private static final long POLL_TIMEOUT_MILLIS = 100;

    private final MpscQueue<Command> commands;
    private final Consumer<Event> events;
    private final StreamTransfers transfers;
    private final List<String> seeds;
    private final String selfAddress;
    private final SheetCache sheetCache;
    private final PeerTransport transport;
    private volatile Set<String> peerAddresses;

    /**
     * Creates the worker without opening its port.
     *
     * @param node the name of this node
     * @param selfAddress the host and port at which peers reach this node
     * @param key the secret shared by all nodes
     * @param seeds the addresses of peers from the settings
     * @param sheetCache provides the latest configuration sheet and receives the sheets of peers
     * @param transfers hands streams over to peers and adopts theirs
     * @param commands the queue of commands to send messages
     * @param events receives the events
     */
    public PeerWorker(
            String node,
            String selfAddress,
            PeerKey key,
            List<String> seeds,
            SheetCache sheetCache,
            StreamTransfers transfers,
            MpscQueue<Command> commands,
            Consumer<Event> events) {
        this.selfAddress = selfAddress;
        this.seeds = seeds;
        this.sheetCache = sheetCache;
        this.transfers = transfers;
        this.commands = commands;
        this.events = events;
        this.transport = new PeerTransport(node, key, this);
        this.peerAddresses = Set.copyOf(seeds);
    }

    /** Closes all connections. */
    public void close() {
        transport.close();
    }

    /**
     * Starts to accept connections from peers.
     *
     * @param host the address to listen on
     * @param port the port to listen on
     * @throws InterruptedException if the thread is interrupted
     */
    public void listen(String host, int port) throws InterruptedException {
        transport.listen(host, port);
    }

    @Override
    public String name() {
        return "peers";
    }

    /**
     * Replaces the peer addresses that were read from the directory. The seeds are kept.
     *
     * @param directoryAddresses the addresses of the peers
     */
    public void updatePeerAddresses(List<String> directoryAddresses) {
        Set<String> updated = new HashSet<>(directoryAddresses);
        updated.addAll(seeds);
        updated.remove(selfAddress);
        peerAddresses = Set.copyOf(updated);
        transport.retainConnections(peerAddresses);
    }

    @Override
    public void onMessage(PeerMessage message, Consumer<PeerMessage> reply) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            events.accept(new Event.PeerHeard(heartbeat.state()));
        } else if (message instanceof PeerMessage.ConfigurationRequest) {
            sheetCache
                    .latest()
                    .ifPresent(sheet -> reply.accept(
                            new PeerMessage.ConfigurationOffer(sheet.revision(), sheet.digest(), sheet.text())));
        } else if (message instanceof PeerMessage.ConfigurationOffer offer) {
            sheetCache.offer(offer.revision(), offer.digest(), offer.sheet());
        } else if (message instanceof PeerMessage.HandOver offer) {
            transfers.adopt(offer, reply);
        } else if (message instanceof PeerMessage.HandOverReply handOverReply) {
            transfers.onReply(handOverReply.transfer(), handOverReply.accepted());
        }
    }

    @Override
    public void runIteration() {
        Command command = commands.poll(POLL_TIMEOUT_MILLIS);
        transfers.failExpired();
        if (command instanceof Command.TellPeers tell) {
            PeerMessage heartbeat = new PeerMessage.Heartbeat(tell.state());
            peerAddresses.forEach(address -> transport.send(address, heartbeat));
        } else if (command instanceof Command.RequestConfiguration request) {
            transport.send(request.peerAddress(), new PeerMessage.ConfigurationRequest(request.revision()));
        } else if (command instanceof Command.HandOverCall handOver) {
            transfers.offer(handOver, transport::send);
        } else if (command instanceof Command.AnswerAdoption answer) {
            transfers.replyToOffer(answer);
        }
    }
}
