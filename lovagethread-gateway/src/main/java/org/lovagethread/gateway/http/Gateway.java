package org.lovagethread.gateway.http;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.lovagethread.gateway.CrossZoneSettings;
import org.lovagethread.gateway.GatewaySettings;
import org.lovagethread.gateway.config.GatewayConfiguration;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.duty.DutyLease;
import org.lovagethread.gateway.duty.FleetManager;
import org.lovagethread.gateway.duty.LeaseLog;
import org.lovagethread.gateway.duty.UsageLedger;
import org.lovagethread.gateway.duty.UsageReporter;
import org.lovagethread.gateway.engine.EngineModels;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.log.GatewayMetrics;
import org.lovagethread.gateway.log.LogRateLimiter;
import org.lovagethread.gateway.peer.ClusterClock;
import org.lovagethread.gateway.peer.PeerTable;
import org.lovagethread.gateway.policy.AddressPolicy;
import org.lovagethread.gateway.policy.AddressPolicy.GatewayAddress;
import org.lovagethread.gateway.policy.Admission;
import org.lovagethread.gateway.policy.LagDetector;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.policy.PromptQuarantine;
import org.lovagethread.gateway.policy.RetryBudget;
import org.lovagethread.gateway.policy.TokenQuota;
import org.lovagethread.gateway.policy.ZoneTopology;
import org.lovagethread.gateway.rollout.RolloutTable;
import org.lovagethread.gateway.store.EraStore;
import org.lovagethread.gateway.store.Scheduler;
import org.lovagethread.gateway.store.StateSync;
import org.lovagethread.gateway.stream.StreamOrigins;
import org.lovagethread.gateway.upstream.UpstreamTable;
import org.lovagethread.wire.generated.GatewayDatagram;

/** A gateway: forwards requests of callers to upstreams and synchronizes its state with the store and its peers. */
public final class Gateway implements ExchangeContext, Scheduler, DutyLease.Clocks {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK_MILLIS = 20;
    private static final int MAX_LINES_PER_SECOND = 40;
    private static final int ACCEPT_BACKLOG = 1_024;

    /** Fraction of the heap for buffered responses, as a divisor; a buffer may be twice as large as its content. */
    private static final long HEAP_PER_BUFFERED_RESPONSES = 8;

    private final GatewaySettings settings;
    private final PlatformPorts ports;
    private final EventLog log;
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final NioEventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("gateway", false));
    private final EventLoop loop = group.next();
    private final long startNanos = System.nanoTime();
    private final long incarnation = System.currentTimeMillis();
    private final UpstreamTable upstreams = new UpstreamTable();
    private final EngineModels engineModels = new EngineModels();
    private final Admission admission = new Admission();
    private final PromptQuarantine promptQuarantine = new PromptQuarantine();
    private final TokenQuota quota;
    private final ClusterClock clock = new ClusterClock();
    private final LogRateLimiter successLines = new LogRateLimiter(MAX_LINES_PER_SECOND);
    private final ResponseMemory responseMemory =
            new ResponseMemory(Runtime.getRuntime().maxMemory() / HEAP_PER_BUFFERED_RESPONSES);
    private final RefusalReporter refusals;
    private final CrashReporter crashReporter;
    private final UpstreamSpeedMonitor speedMonitor;
    private final PauseReporter pauseReporter;
    private final LagDetector lagDetector = new LagDetector();
    private final LinkService links = new LinkService(this, loop);
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final EraStore store;
    private final DiscoveryResponder discovery;
    private final PeerTable peers;
    private final Placement placement;
    private final ZoneTrafficExchange zoneTraffic;
    private final RetryBudget retryBudget;
    private final UsageLedger usage;
    private final StateSync sync;
    private final DutyLease lease;
    private final LeaseLog leaseLog;
    private final UsageReporter usageReporter;
    private final PromptEvidenceStore promptEvidence;
    private final FleetManager fleetManager;
    private final RoomQueue roomQueue = new RoomQueue(loop, this::nowMillis);
    private final UpstreamNotices notices;
    private final NettyUpstreamClient upstreamClient;
    private final RelayService relays;
    private final CallerServer callerServer;
    private final PeerExchange peerExchange;
    private final Shutdown shutdown;
    private final RolloutService rollouts;
    private final StreamOriginService streamOrigins;
    private Channel callerListener;
    private long ticks;

    /**
     * Creates a gateway, which is started by {@link #start}.
     *
     * @param settings the settings
     * @param portsFactory creates the interfaces to the platform
     * @param log the event log
     */
    public Gateway(GatewaySettings settings, Function<PooledHttpClient, PlatformPorts> portsFactory, EventLog log) {
        this(settings, CrossZoneSettings.FIXED_COSTS, portsFactory, log);
    }

    /**
     * Creates a gateway, which is started by {@link #start}.
     *
     * @param settings the settings
     * @param crossZone the settings of the traffic between zones
     * @param portsFactory creates the interfaces to the platform
     * @param log the event log
     */
    public Gateway(
            GatewaySettings settings,
            CrossZoneSettings crossZone,
            Function<PooledHttpClient, PlatformPorts> portsFactory,
            EventLog log) {
        this.settings = settings;
        this.log = log;
        this.crashReporter = new CrashReporter(log, metrics);
        this.speedMonitor = new UpstreamSpeedMonitor(upstreams, log);
        this.pauseReporter = new PauseReporter(log, metrics);
        PooledHttpClient httpClient =
                new PooledHttpClient(loop, settings.bounds().silenceTimeouts());
        this.ports = portsFactory.apply(httpClient);
        this.store = new EraStore(ports.store(), log);
        this.refusals = new RefusalReporter(log, metrics, ports.headerCodec());
        GatewaySettings.Bounds bounds = settings.bounds();
        ZoneTopology zones = new ZoneTopology(settings.zone(), settings.regionByZone());
        this.discovery = new DiscoveryResponder(this, new AddressPolicy(zones));
        this.quota = new TokenQuota(bounds.quotaTolerance(), bounds.quotaToleranceTokens(), nowMillis(), Math::random);
        this.peers = new PeerTable(settings.host(), settings.zone(), settings.capacity());
        this.zoneTraffic = new ZoneTrafficExchange(zones, crossZone, settings.node() + '#' + incarnation, log, metrics);
        this.placement = new Placement(zones, engineModels, zoneTraffic.routing());
        this.retryBudget = new RetryBudget(bounds.retryRatio(), bounds.retryAllowance(), bounds.retryWindowMillis());
        this.usage = new UsageLedger(bounds.usageWindowMillis(), this::clusterMillis);
        this.sync = new StateSync(store, ports.configurationDecoder(), upstreams, this, bounds.silenceTimeouts(), log);
        this.lease = new DutyLease(
                store, store::era, settings.node() + '@' + settings.host() + '#' + incarnation, this, sync::recordCall);
        this.leaseLog = new LeaseLog(lease, log);
        if (settings.firstStart()) {
            lease.markFirstStart();
        }
        this.usageReporter = new UsageReporter(
                store,
                ports.duties(),
                usage,
                bounds.usageReportDeadlineMillis(),
                this::clusterMillis,
                this::nowMillis,
                lease::fencingToken,
                lease::eraSinceMillis,
                log);
        this.promptEvidence = new PromptEvidenceStore(
                store, promptQuarantine, this::nowMillis, this::clusterMillis, sync::recordCall, log);
        this.fleetManager =
                new FleetManager(ports.duties(), upstreams, engineModels, this::nowMillis, lease::fencingToken, log);
        fleetManager.followDemand(service -> zoneTraffic.demandByZone(service, nowMillis()));
        this.notices = new UpstreamNotices(ports.headerCodec(), upstreams, this::nowMillis, log);
        this.upstreamClient = new NettyUpstreamClient(
                loop,
                ports.headerCodec(),
                this::nowMillis,
                bounds.silenceTimeouts().contactMillis(),
                notices::read,
                links.reporter());
        store.onRestore(() -> loop.execute(sync::onRestore));
        store.onRestore(promptEvidence::onRestore);
        this.relays = new RelayService(this, loop, zones);
        relays.followIsolation(links::isIsolated);
        this.callerServer = new CallerServer(this, new RequestRouter(ports.headerCodec(), quota, Math::random), relays);
        this.peerExchange = new PeerExchange(this, httpClient);
        this.shutdown = new Shutdown(this, bounds);
        this.rollouts = new RolloutService(this, zones, this::clusterMillis);
        this.streamOrigins = new StreamOriginService(this, this::clusterMillis);
    }

    /**
     * Opens the ports of the gateway and starts to synchronize its state.
     *
     * @throws InterruptedException if the calling thread is interrupted
     */
    public void start() throws InterruptedException {
        callerListener = listen(settings.callerAddress(), callerServer::accept);
        listen(settings.readinessAddress(), channel -> SimpleHttpServer.accept(channel, discovery::respond));
        listen(settings.directoryAddress(), channel -> SimpleHttpServer.accept(channel, discovery::respond));
        listen(settings.metricsAddress(), channel -> SimpleHttpServer.accept(channel, request -> metricsResponse()));
        listen(peerAddress(), new PeerPort(sync, relays.server())::accept);
        peerExchange.open(loop);
        log.add(log.line("started")
                .put("incarnation", incarnation)
                .put("zone", settings.zone())
                .put("first_start", settings.firstStart()));
        loop.execute(peerExchange::start);
        loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts a graceful shutdown. The gateway stops when all requests have ended, at the latest shortly before the
     * platform kills the process.
     */
    public void stop() {
        loop.execute(shutdown::start);
    }

    /**
     * Waits until the gateway has stopped.
     *
     * @throws InterruptedException if the calling thread is interrupted
     */
    public void awaitStop() throws InterruptedException {
        stopped.await();
    }

    void signalStopped() {
        log.add(log.line("stopped").put("requests", callerServer.activeRequests()));
        stopped.countDown();
    }

    /** Returns the address on which callers can connect. */
    InetSocketAddress boundCallerAddress() {
        return (InetSocketAddress) callerListener.localAddress();
    }

    /** Returns whether this gateway may still process a request, which it may not if it is about to stop. */
    boolean accepts(Route route, long timeoutMillis, long nowMillis) {
        return shutdown.accepts(route, timeoutMillis, nowMillis);
    }

    /** Closes the port for callers. Connections that are open stay open. */
    void stopAccepting() {
        callerListener.close();
    }

    private Channel listen(InetSocketAddress address, Consumer<SocketChannel> initializer) throws InterruptedException {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        initializer.accept(channel);
                    }
                })
                .bind(address)
                .sync()
                .channel();
    }

    private void tick() {
        try {
            tick(nowMillis());
        } catch (RuntimeException e) {
            log.add(log.line("tick-failed").put("reason", e.toString()));
        }
    }

    private void tick(long nowMillis) {
        ticks++;
        lagDetector.onTick(nowMillis);
        callerServer.tick(nowMillis, shutdown.idleDeadlineMillis(nowMillis));
        shutdown.tick(nowMillis);
        peerExchange.tick(nowMillis);
        streamOrigins.tickSearches(nowMillis);
        if (ticks % 5 == 0) {
            streamOrigins.tick(nowMillis);
            lease.tick(sync.isComplete() && !callerServer.isDraining() && peerExchange.isPreferredLeader(nowMillis));
            leaseLog.tick(store.era(), sync.storeHealth().isReachable());
            usageReporter.tick();
            rollouts.tick(nowMillis);
            crashReporter.report(promptQuarantine.evaluate(upstreams, nowMillis), nowMillis);
            crashReporter.report(promptQuarantine.crashLog(), nowMillis);
            promptEvidence.tick(lease.fencingToken().isPresent());
            pauseReporter.tick(upstreams, nowMillis);
            configuration().ifPresent(current -> fleetManager.tick(current, quota.tokensPerSecond(nowMillis)));
        }
        if (ticks % 25 == 0) {
            upstreamClient.tick(nowMillis);
            zoneTraffic.tick(nowMillis);
            quota.tick(gatewayCount(), nowMillis);
            speedMonitor.logChanges(nowMillis);
            for (String id : upstreams.expire(
                    sync.storeHealth().isReachable(), sync.storeHealth().recoveredMillis(), nowMillis)) {
                log.add(log.line("upstream-gone").put("upstream", id));
            }
        }
    }

    private SimpleHttpServer.Response metricsResponse() {
        metrics.setState(
                "configuration_version",
                configuration().map(GatewayConfiguration::version).orElse(-1L));
        metrics.setState("gateways_live", peers.livePeers(nowMillis()).size() + 1);
        metrics.setState("holds_lease", lease.isHeld() ? 1 : 0);
        metrics.setState("log_lines_dropped", log.droppedLines());
        metrics.setState("ready", isReady() ? 1 : 0);
        metrics.setState(
                "quarantined_prompt_parts", promptQuarantine.quarantinedParts().size());
        metrics.setState("relayed_requests_in_progress", relays.server().activeRequests());
        metrics.setState("requests_in_progress", callerServer.activeRequests());
        metrics.setState("store_era", store.era());
        metrics.setState("store_reachable", sync.storeHealth().isReachable() ? 1 : 0);
        metrics.setState("buffered_response_bytes", responseMemory.totalBytes());
        rollouts.expose(metrics);
        speedMonitor.updateMetrics(metrics, nowMillis());
        upstreamClient.publish(metrics);
        links.publish(metrics);
        notices.publish(metrics);
        return new SimpleHttpServer.Response(
                HttpResponseStatus.OK, "text/plain; version=0.0.4", ByteString.copyFrom(metrics.exposition()));
    }

    void recordRefusal(HttpRequest request, Refusal refusal, long version) {
        refusals.report(request, refusal, version, nowMillis());
    }

    @Override
    public void onExchangeEnded(Exchange exchange, ExchangeRecord record) {
        AdmittedRequest admitted = record.admitted();
        String customer = admitted.customer().map(owner -> owner.name()).orElse("");
        metrics.recordRequest(admitted.route().name(), customer, record.outcome(), record.responseMillis());
        streamOrigins.onExchangeEnded(record, nowMillis());
        if (record.succeededAtFirstAttempt() && !successLines.tryAcquire(nowMillis())) {
            return;
        }
        log.add(record.addTo(log.line("request-ended"))
                .put(
                        "configuration",
                        configuration().map(GatewayConfiguration::version).orElse(-1L))
                .put("omitted_before", successLines.resetOmitted()));
    }

    boolean isReady() {
        return sync.isComplete() && !callerServer.isDraining();
    }

    /** Refunds the tokens charged for a request that is refused before its first attempt. */
    void refundQuota(AdmittedRequest admitted) {
        admitted.customer().ifPresent(owner -> quota.refund(owner.name(), quotaTokens(admitted.attributes(), owner)));
    }

    boolean isLagging() {
        return lagDetector.isLagging(nowMillis());
    }

    GatewaySettings settings() {
        return settings;
    }

    EventLog log() {
        return log;
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    StateSync sync() {
        return sync;
    }

    PeerTable peers() {
        return peers;
    }

    LinkService links() {
        return links;
    }

    ZoneTrafficExchange zoneTraffic() {
        return zoneTraffic;
    }

    ClusterClock clock() {
        return clock;
    }

    DutyLease lease() {
        return lease;
    }

    CallerServer callerServer() {
        return callerServer;
    }

    RelayService relays() {
        return relays;
    }

    List<GatewayAddress> readyGatewaysInOtherCells() {
        return peerExchange.readyGatewaysInOtherCells(nowMillis());
    }

    EraStore store() {
        return store;
    }

    PlatformPorts ports() {
        return ports;
    }

    long incarnation() {
        return incarnation;
    }

    Optional<GatewayConfiguration> configuration() {
        return sync.configuration();
    }

    double unreachableShare() {
        long now = nowMillis();
        return Math.min(
                1.0,
                (double) (peers.unreachableCount(now) + peerExchange.unreachableInOtherCells(now))
                        / peers.estimatedGateways());
    }

    /** Returns the addresses of all gateways that accept requests, including this one. */
    List<GatewayAddress> readyGateways(long nowMillis) {
        return peerExchange.readyGateways(nowMillis);
    }

    void sendToPeers(GatewayDatagram datagram, Set<String> hosts) {
        peerExchange.send(datagram, hosts);
    }

    @Override
    public long clusterMillis() {
        return clock.clusterMillis(wallMillis(), monotonicMillis());
    }

    private InetSocketAddress peerAddress() {
        return new InetSocketAddress(settings.metricsAddress().getAddress(), settings.peerPort());
    }

    @Override
    public void schedule(long delayMillis, Runnable action) {
        loop.schedule(action, delayMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public long nowMillis() {
        return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    @Override
    public long observedMillis() {
        return lagDetector.observedMillis();
    }

    @Override
    public long monotonicMillis() {
        return nowMillis();
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public HeaderCodec headerCodec() {
        return ports.headerCodec();
    }

    @Override
    public UpstreamTable upstreams() {
        return upstreams;
    }

    @Override
    public long upstreamsRevision() {
        return sync.upstreamsRevision();
    }

    @Override
    public Placement placement() {
        return placement;
    }

    RolloutService rolloutService() {
        return rollouts;
    }

    StreamOriginService streamOriginService() {
        return streamOrigins;
    }

    @Override
    public StreamOrigins streamOrigins() {
        return streamOrigins.origins();
    }

    @Override
    public RolloutTable rollouts() {
        return rollouts.table();
    }

    @Override
    public EngineModels engineModels() {
        return engineModels;
    }

    @Override
    public Admission admission() {
        return admission;
    }

    @Override
    public RetryBudget retryBudget() {
        return retryBudget;
    }

    @Override
    public PromptQuarantine promptQuarantine() {
        return promptQuarantine;
    }

    @Override
    public TokenQuota quota() {
        return quota;
    }

    @Override
    public UsageLedger usage() {
        return usage;
    }

    @Override
    public ResponseMemory responseMemory() {
        return responseMemory;
    }

    @Override
    public RoomQueue roomQueue() {
        return roomQueue;
    }

    @Override
    public UpstreamClient upstreamClient() {
        return upstreamClient;
    }

    @Override
    public int gatewayCount() {
        return peers.estimatedGateways();
    }
}
