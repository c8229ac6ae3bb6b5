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
import org.lovagethread.node.decision.CoreWorker;
import org.lovagethread.node.decision.TraceRecorder;
import org.lovagethread.node.peer.PeerWorker;
import org.lovagethread.node.peer.StreamTransfers;
import org.lovagethread.node.supplier.ConfigurationWorker;
import org.lovagethread.node.supplier.DirectoryWorker;
import org.lovagethread.node.supplier.InstanceWorker;
import org.lovagethread.node.supplier.OrderWorker;
import org.lovagethread.node.supplier.ReclaimNoticeWorker;
import org.lovagethread.node.supplier.SheetCache;
import org.lovagethread.node.supplier.StoreWorker;
import org.lovagethread.node.telemetry.DecisionHistory;
import org.lovagethread.node.telemetry.NodeMetrics;
import org.lovagethread.node.telemetry.TelemetryWorker;
import org.lovagethread.node.upstream.UpstreamWorker;
import org.lovagethread.node.worker.MonotonicClock;
import org.lovagethread.node.worker.MpscQueue;
import org.lovagethread.node.worker.Supervisor;
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

/** Assembles the workers and servers of one node, starts them under supervision and stops them. */
public final class Node {
    private static final Logger LOG = System.getLogger(Node.class.getName());
    private static final long DELIVERY_POLL_INTERVAL_MILLIS = 50;
    private static final long FLUSH_DELAY_MILLIS = 300;
    private static final long DELIVERY_TIMEOUT_MILLIS = 30_000;
    private static final int EVENT_QUEUE_CAPACITY = 1 << 14;
    private static final int COMMAND_QUEUE_CAPACITY = 1 << 13;

    private final MonotonicClock clock = new MonotonicClock();
    private final AtomicLong activeRevision = new AtomicLong();
    private final CountDownLatch exitLatch = new CountDownLatch(1);
    private final MpscQueue<Event> events = new MpscQueue<>(EVENT_QUEUE_CAPACITY);
    private final MpscQueue<Command> callerCommands = new MpscQueue<>(COMMAND_QUEUE_CAPACITY);
    private final MpscQueue<Command> orderCommands = new MpscQueue<>(COMMAND_QUEUE_CAPACITY);
    private final MpscQueue<Command> storeCommands = new MpscQueue<>(COMMAND_QUEUE_CAPACITY);
    private final MpscQueue<Command> peerCommands = new MpscQueue<>(COMMAND_QUEUE_CAPACITY);
    private final MpscQueue<Command> telemetryCommands = new MpscQueue<>(COMMAND_QUEUE_CAPACITY);
    private final MpscQueue<Command> upstreamCommands = new MpscQueue<>(COMMAND_QUEUE_CAPACITY);
    private final CallRegistry calls;
    private final CoreSettings coreSettings;
    private final NodeDirectory directory;
    private final DecisionHistory decisionHistory = new DecisionHistory();
    private final NodeMetrics metrics = new NodeMetrics();
    private final StreamTransfers transfers;
    private final ObjectApiClient objectClient;
    private final PeerWorker peerWorker;
    private final TraceRecorder recorder;
    private final CallerServer server;
    private final Settings settings;
    private final SheetCache sheetCache = new SheetCache(events::put);
    private final Supervisor supervisor = new Supervisor("node", this::onEscalation);

    /**
     * Creates a node without starting it.
     *
     * @param settings the validated settings
     * @throws Exception if a key file cannot be read or the HTTP server cannot be created
     */
    public Node(Settings settings) throws Exception {
        this.settings = settings;
        coreSettings = createCoreSettings(settings, clock.millis());
        calls = new CallRegistry((int) settings.number(NodeSettingKeys.MAX_OPEN_CALLS));
        objectClient = new ObjectApiClient(settings.uri(NodeSettingKeys.OBJECT_API));
        directory = new NodeDirectory(objectClient, settings.text(NodeSettingKeys.CELL));
        recorder = new TraceRecorder((int) settings.number(NodeSettingKeys.MAX_TRACE_EVENTS));
        registerQueueMetrics();
        transfers = new StreamTransfers(calls, clock, events::put);
        peerWorker = createPeerWorker();
        server = new CallerServer(
                settings,
                settings.secret(NodeSettingKeys.OPERATOR_KEY_FILE),
                calls,
                clock,
                events,
                callerCommands,
                metrics,
                decisionHistory,
                recorder,
                TraceFormat.Header.of(coreSettings),
                () -> activeRevision.get() == 0 ? "no configuration yet" : "");
    }

    /**
     * Requests a shutdown. It completes once no call is in flight and no address response that names this node is still
     * valid.
     */
    public void requestStop() {
        events.put(new Event.StopRequested());
    }

    /**
     * Starts all workers and servers.
     *
     * @throws Exception if a port cannot be bound
     */
    public void start() throws Exception {
        startCoreWorkers();
        server.start();
        transfers.setEventLoops(server.controller().getEventLoopGroup());
        startCallerWorkers();
        peerWorker.listen(settings.text(NodeSettingKeys.HOST), (int) settings.number(NodeSettingKeys.PEER_PORT));
        supervisor.createChild("peers").start(peerWorker);
        startPlatformWorkers();
        LOG.log(Level.INFO, "node-started {0}", settings.effectiveValues());
    }

    /**
     * Waits until all work is done after a stop request, then stops all workers and servers.
     *
     * @throws Exception if the HTTP server cannot be stopped
     */
    public void stopWhenIdle() throws Exception {
        exitLatch.await();
        awaitDelivery();
        directory.remove(coreSettings.node());
        server.stop();
        supervisor.stop();
        peerWorker.close();
        LOG.log(Level.INFO, "node-stopped");
    }

    private static CoreSettings createCoreSettings(Settings settings, long startMillis) {
        String nodeHost = settings.text(NodeSettingKeys.HOST);
        return CoreSettings.builder(settings.text(NodeSettingKeys.NAME))
                .address(nodeHost + ":" + settings.text(NodeSettingKeys.CALLER_PORT))
                .addressLifetimeMillis(settings.number(NodeSettingKeys.ADDRESS_LIFETIME_MS))
                .incarnation(startMillis)
                .peerAddress(nodeHost + ":" + settings.text(NodeSettingKeys.PEER_PORT))
                .region(settings.text(NodeSettingKeys.REGION))
                .seed(startMillis)
                .stopGraceMillis(settings.number(NodeSettingKeys.STOP_GRACE_MS))
                .zone(settings.text(NodeSettingKeys.ZONE))
                .build();
    }

    private void registerQueueMetrics() {
        metrics.registerQueue("events", events::depth);
        metrics.registerQueue("callers", callerCommands::depth);
        metrics.registerQueue("orders", orderCommands::depth);
        metrics.registerQueue("peers", peerCommands::depth);
        metrics.registerQueue("store", storeCommands::depth);
        metrics.registerQueue("telemetry", telemetryCommands::depth);
        metrics.registerQueue("upstreams", upstreamCommands::depth);
    }

    /** Waits until all responses have been delivered to the callers, or until the delivery time-out expires. */
    private void awaitDelivery() throws InterruptedException {
        long deadlineMillis = clock.millis() + DELIVERY_TIMEOUT_MILLIS;
        while (calls.awaitedCount() > 0 && clock.millis() < deadlineMillis) {
            Thread.sleep(DELIVERY_POLL_INTERVAL_MILLIS);
        }
        Thread.sleep(FLUSH_DELAY_MILLIS);
    }

    private void onEscalation(String workerName) {
        LOG.log(Level.ERROR, "duty-given-up {0}", workerName);
        Runtime.getRuntime().halt(NodeMain.EXIT_FAILURE);
    }

    private PeerWorker createPeerWorker() throws IOException {
        return new PeerWorker(
                coreSettings.node(),
                coreSettings.peerAddress(),
                new PeerKey(settings.secret(NodeSettingKeys.PEER_KEY_FILE)),
                settings.addresses(NodeSettingKeys.SEEDS),
                sheetCache,
                transfers,
                peerCommands,
                events::put);
    }

    private void startCallerWorkers() throws Exception {
        Supervisor callers = supervisor.createChild("callers");
        callers.start(server.createWorker());
        callers.start(new UpstreamWorker(
                coreSettings.node(), server.controller(), calls, clock, upstreamCommands, events::put));
    }

    private void startCoreWorkers() {
        Core core = new Core(coreSettings);
        CommandRouter commandRouter = new CommandRouter(
                callerCommands,
                upstreamCommands,
                storeCommands,
                orderCommands,
                peerCommands,
                telemetryCommands,
                exitLatch::countDown);
        CommandSink sink = command -> {
            if (command instanceof Command.ActivateConfiguration activate) {
                activeRevision.set(activate.revision());
                core.configuration().ifPresent(metrics::updateConfiguration);
            }
            commandRouter.accept(command);
        };
        supervisor.start(new CoreWorker(core, clock, events, recorder, sink));
        supervisor.start(new TelemetryWorker(telemetryCommands, decisionHistory, metrics, clock));
    }

    private void startPlatformWorkers() {
        Supervisor platform = supervisor.createChild("platform");
        InstanceClient instances = new InstanceClient(
                settings.uri(NodeSettingKeys.INSTANCE_LIST), settings.uri(NodeSettingKeys.CLOUD_API));
        NodeEntry self = new NodeEntry(
                coreSettings.node(),
                coreSettings.address(),
                coreSettings.peerAddress(),
                coreSettings.zone(),
                coreSettings.incarnation(),
                0);
        LeaseStore leases = new LeaseStore(objectClient, settings.text(NodeSettingKeys.CELL));
        platform.start(new StoreWorker(new ClaimStore(objectClient), leases, storeCommands, events::put));
        platform.start(new OrderWorker(new EngineClient(), clock, orderCommands, events::put));
        platform.start(new ConfigurationWorker(new ConfigurationStore(objectClient, Clock.systemUTC()), sheetCache));
        platform.start(new DirectoryWorker(directory, self, clock, events::put, peerWorker::updatePeerAddresses));
        platform.start(new InstanceWorker(instances, events::put));
        platform.start(new ReclaimNoticeWorker(instances, events::put));
    }
}
