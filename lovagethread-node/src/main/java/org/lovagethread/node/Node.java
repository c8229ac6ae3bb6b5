package org.lovagethread.node;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.lovagethread.core.Core;
import org.lovagethread.core.CoreSettings;
import org.lovagethread.core.command.Command;
import org.lovagethread.core.event.Event;
import org.lovagethread.node.caller.CallRegistry;
import org.lovagethread.node.caller.CallerServer;
import org.lovagethread.node.decision.CommandSink;
import org.lovagethread.node.decision.DecisionDuty;
import org.lovagethread.node.decision.TraceRecorder;
import org.lovagethread.node.duty.NodeClock;
import org.lovagethread.node.duty.Ring;
import org.lovagethread.node.duty.Supervisor;
import org.lovagethread.node.peer.PeerDuty;
import org.lovagethread.node.peer.StreamTransfers;
import org.lovagethread.node.supplier.ConfigurationDuty;
import org.lovagethread.node.supplier.DirectoryDuty;
import org.lovagethread.node.supplier.InstanceDuty;
import org.lovagethread.node.supplier.NoticeDuty;
import org.lovagethread.node.supplier.OrderDuty;
import org.lovagethread.node.supplier.SheetHolder;
import org.lovagethread.node.supplier.StoreDuty;
import org.lovagethread.node.telemetry.Explanations;
import org.lovagethread.node.telemetry.NodeMetrics;
import org.lovagethread.node.telemetry.TelemetryDuty;
import org.lovagethread.node.upstream.UpstreamDuty;
import org.lovagethread.supplier.engines.EngineClient;
import org.lovagethread.supplier.instances.InstanceClient;
import org.lovagethread.supplier.objects.ClaimStore;
import org.lovagethread.supplier.objects.ConfigurationStore;
import org.lovagethread.supplier.objects.LeaseStore;
import org.lovagethread.supplier.objects.NodeDirectory;
import org.lovagethread.supplier.objects.NodeEntry;
import org.lovagethread.supplier.objects.ObjectApiClient;
import org.lovagethread.supplier.settings.Settings;
import org.lovagethread.supplier.trace.TraceFormat;
import org.lovagethread.wire.PeerKey;

/** Joins the duties of one node: builds them, starts them under supervisors and stops them. */
public final class Node {
    private static final Logger LOG = System.getLogger(Node.class.getName());
    private static final long DELIVERY_POLL_MILLIS = 50;
    private static final long FLUSH_MILLIS = 300;
    private static final long MOST_DELIVERY_MILLIS = 30_000;
    private static final int EVENT_CAPACITY = 1 << 14;
    private static final int COMMAND_CAPACITY = 1 << 13;

    private final NodeClock clock = new NodeClock();
    private final AtomicLong revision = new AtomicLong();
    private final CountDownLatch exit = new CountDownLatch(1);
    private final Ring<Event> events = new Ring<>(EVENT_CAPACITY);
    private final Ring<Command> callerCommands = new Ring<>(COMMAND_CAPACITY);
    private final Ring<Command> orderCommands = new Ring<>(COMMAND_CAPACITY);
    private final Ring<Command> storeCommands = new Ring<>(COMMAND_CAPACITY);
    private final Ring<Command> peerCommands = new Ring<>(COMMAND_CAPACITY);
    private final Ring<Command> telemetryCommands = new Ring<>(COMMAND_CAPACITY);
    private final Ring<Command> upstreamCommands = new Ring<>(COMMAND_CAPACITY);
    private final CallRegistry calls;
    private final CoreSettings coreSettings;
    private final NodeDirectory directory;
    private final Explanations explanations = new Explanations();
    private final NodeMetrics metrics = new NodeMetrics();
    private final StreamTransfers transfers;
    private final ObjectApiClient objects;
    private final PeerDuty peers;
    private final TraceRecorder recorder;
    private final CallerServer server;
    private final Settings settings;
    private final SheetHolder sheets = new SheetHolder(events::put);
    private final Supervisor supervisor = new Supervisor("node", this::escalated);

    /**
     * Builds a node without starting it.
     *
     * @param settings the checked settings
     * @throws Exception if a key file cannot be read or the HTTP server cannot be created
     */
    public Node(Settings settings) throws Exception {
        this.settings = settings;
        coreSettings = coreSettings(settings, clock.millis());
        calls = new CallRegistry((int) settings.number(NodeKeys.MOST_OPEN_CALLS));
        objects = new ObjectApiClient(settings.uri(NodeKeys.OBJECT_API));
        directory = new NodeDirectory(objects, settings.text(NodeKeys.CELL));
        recorder = new TraceRecorder((int) settings.number(NodeKeys.TRACE_EVENTS));
        watchRings();
        transfers = new StreamTransfers(calls, clock, events::put);
        peers = peerDuty();
        server = new CallerServer(
                settings,
                settings.secret(NodeKeys.OPERATOR_KEY_FILE),
                calls,
                clock,
                events,
                callerCommands,
                metrics,
                explanations,
                recorder,
                TraceFormat.Header.of(coreSettings),
                () -> revision.get() == 0 ? "no configuration yet" : "");
    }

    /** Asks the node to stop once nothing is in flight and no address answer names it any more. */
    public void requestStop() {
        events.put(new Event.StopRequested());
    }

    /**
     * Starts all duties and servers.
     *
     * @throws Exception if a port cannot be used
     */
    public void start() throws Exception {
        startDecisions();
        server.start();
        transfers.useLoops(server.controller().getEventLoopGroup());
        startCallers();
        peers.listen(settings.text(NodeKeys.HOST), (int) settings.number(NodeKeys.PEER_PORT));
        supervisor.child("peers").start(peers);
        startPlatform();
        LOG.log(Level.INFO, "node-started {0}", settings.effectiveValues());
    }

    /**
     * Waits until the node has nothing left to do after a stop request, then stops all duties.
     *
     * @throws Exception if the HTTP server cannot be stopped
     */
    public void stopWhenIdle() throws Exception {
        exit.await();
        awaitDelivery();
        directory.remove(coreSettings.node());
        server.stop();
        supervisor.stop();
        peers.close();
        LOG.log(Level.INFO, "node-stopped");
    }

    private static CoreSettings coreSettings(Settings settings, long startMillis) {
        String host = settings.text(NodeKeys.HOST);
        return CoreSettings.builder(settings.text(NodeKeys.NAME))
                .address(host + ":" + settings.text(NodeKeys.CALLER_PORT))
                .addressLifetimeMillis(settings.number(NodeKeys.ADDRESS_LIFETIME_MS))
                .incarnation(startMillis)
                .peerAddress(host + ":" + settings.text(NodeKeys.PEER_PORT))
                .region(settings.text(NodeKeys.REGION))
                .seed(startMillis)
                .stopGraceMillis(settings.number(NodeKeys.STOP_GRACE_MS))
                .zone(settings.text(NodeKeys.ZONE))
                .build();
    }

    private void watchRings() {
        metrics.watchRing("events", events::depth);
        metrics.watchRing("callers", callerCommands::depth);
        metrics.watchRing("orders", orderCommands::depth);
        metrics.watchRing("peers", peerCommands::depth);
        metrics.watchRing("store", storeCommands::depth);
        metrics.watchRing("telemetry", telemetryCommands::depth);
        metrics.watchRing("upstreams", upstreamCommands::depth);
    }

    /** Waits until the callers have taken the ends of their answers. */
    private void awaitDelivery() throws InterruptedException {
        long deadlineMillis = clock.millis() + MOST_DELIVERY_MILLIS;
        while (calls.awaited() > 0 && clock.millis() < deadlineMillis) {
            Thread.sleep(DELIVERY_POLL_MILLIS);
        }
        Thread.sleep(FLUSH_MILLIS);
    }

    private void escalated(String duty) {
        LOG.log(Level.ERROR, "duty-given-up {0}", duty);
        Runtime.getRuntime().halt(NodeMain.FAILED);
    }

    private PeerDuty peerDuty() throws IOException {
        return new PeerDuty(
                coreSettings.node(),
                coreSettings.peerAddress(),
                new PeerKey(settings.secret(NodeKeys.PEER_KEY_FILE)),
                settings.addresses(NodeKeys.SEEDS),
                sheets,
                transfers,
                peerCommands,
                events::put);
    }

    private void startCallers() throws Exception {
        Supervisor callers = supervisor.child("callers");
        callers.start(server.duty());
        callers.start(new UpstreamDuty(
                coreSettings.node(), server.controller(), calls, clock, upstreamCommands, events::put));
    }

    private void startDecisions() {
        Core core = new Core(coreSettings);
        CommandRouter router = new CommandRouter(
                callerCommands,
                upstreamCommands,
                storeCommands,
                orderCommands,
                peerCommands,
                telemetryCommands,
                exit::countDown);
        CommandSink sink = command -> {
            if (command instanceof Command.ActivateConfiguration activate) {
                revision.set(activate.revision());
                core.configuration().ifPresent(metrics::configured);
            }
            router.accept(command);
        };
        supervisor.start(new DecisionDuty(core, clock, events, recorder, sink));
        supervisor.start(new TelemetryDuty(telemetryCommands, explanations, metrics, clock));
    }

    private void startPlatform() {
        Supervisor platform = supervisor.child("platform");
        InstanceClient instances =
                new InstanceClient(settings.uri(NodeKeys.INSTANCE_LIST), settings.uri(NodeKeys.CLOUD_API));
        NodeEntry self = new NodeEntry(
                coreSettings.node(),
                coreSettings.address(),
                coreSettings.peerAddress(),
                coreSettings.zone(),
                coreSettings.incarnation(),
                0);
        LeaseStore leases = new LeaseStore(objects, settings.text(NodeKeys.CELL));
        platform.start(new StoreDuty(new ClaimStore(objects), leases, storeCommands, events::put));
        platform.start(new OrderDuty(new EngineClient(), clock, orderCommands, events::put));
        platform.start(new ConfigurationDuty(new ConfigurationStore(objects, Clock.systemUTC()), sheets));
        platform.start(new DirectoryDuty(directory, self, clock, events::put, peers::peerAddresses));
        platform.start(new InstanceDuty(instances, events::put));
        platform.start(new NoticeDuty(instances, events::put));
    }
}
