package org.lovagethread.node.peer;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.node.duty.Duty;
import org.lovagethread.node.duty.Ring;
import org.lovagethread.node.supplier.SheetHolder;
import org.lovagethread.wire.PeerKey;
import org.lovagethread.wire.PeerListener;
import org.lovagethread.wire.PeerMessage;
import org.lovagethread.wire.PeerTransport;

/** Sends the core's messages to the peers and brings theirs to the core. */
public final class PeerDuty implements Duty, PeerListener {
    private static final long WAIT_MILLIS = 100;

    private final Ring<Command> commands;
    private final Consumer<Event> events;
    private final StreamTransfers transfers;
    private final List<String> seeds;
    private final String selfAddress;
    private final SheetHolder sheets;
    private final PeerTransport transport;
    private volatile Set<String> addresses;

    /**
     * Creates the duty without listening.
     *
     * @param node the name of this node
     * @param selfAddress the host and port of this node for peers
     * @param key the secret shared by all nodes
     * @param seeds addresses of peers from the settings
     * @param sheets holds the newest sheet
     * @param transfers moves streams
     * @param commands brings the messages to send
     * @param events takes the events
     */
    public PeerDuty(
            String node,
            String selfAddress,
            PeerKey key,
            List<String> seeds,
            SheetHolder sheets,
            StreamTransfers transfers,
            Ring<Command> commands,
            Consumer<Event> events) {
        this.selfAddress = selfAddress;
        this.seeds = seeds;
        this.sheets = sheets;
        this.transfers = transfers;
        this.commands = commands;
        this.events = events;
        this.transport = new PeerTransport(node, key, this);
        this.addresses = Set.copyOf(seeds);
    }

    /** Closes all connections. */
    public void close() {
        transport.close();
    }

    /**
     * Starts to listen for peers.
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
     * Replaces the addresses learned from the directory.
     *
     * @param listed the addresses of the peers
     */
    public void peerAddresses(List<String> listed) {
        Set<String> all = new HashSet<>(listed);
        all.addAll(seeds);
        all.remove(selfAddress);
        addresses = Set.copyOf(all);
        transport.retainConnections(addresses);
    }

    @Override
    public void onMessage(PeerMessage message, Consumer<PeerMessage> reply) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            events.accept(new Event.PeerHeard(heartbeat.state()));
        } else if (message instanceof PeerMessage.ConfigurationRequest) {
            sheets.newest()
                    .ifPresent(sheet -> reply.accept(
                            new PeerMessage.ConfigurationOffer(sheet.revision(), sheet.digest(), sheet.text())));
        } else if (message instanceof PeerMessage.ConfigurationOffer offer) {
            sheets.offer(offer.revision(), offer.digest(), offer.sheet());
        } else if (message instanceof PeerMessage.HandOver offer) {
            transfers.adopt(offer, reply);
        } else if (message instanceof PeerMessage.HandOverReply answer) {
            transfers.replied(answer.transfer(), answer.accepted());
        }
    }

    @Override
    public void step() {
        Command command = commands.take(WAIT_MILLIS);
        transfers.expire();
        if (command instanceof Command.TellPeers tell) {
            PeerMessage heartbeat = new PeerMessage.Heartbeat(tell.state());
            addresses.forEach(address -> transport.send(address, heartbeat));
        } else if (command instanceof Command.RequestConfiguration request) {
            transport.send(request.peerAddress(), new PeerMessage.ConfigurationRequest(request.revision()));
        } else if (command instanceof Command.HandOverCall handOver) {
            transfers.offer(handOver, transport::send);
        } else if (command instanceof Command.AnswerAdoption answer) {
            transfers.answer(answer);
        }
    }
}
