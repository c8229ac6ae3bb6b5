package org.lovagethread.gateway.http;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.lovagethread.gateway.GatewaySettings;
import org.lovagethread.gateway.config.GatewayConfiguration;
import org.lovagethread.gateway.duty.DutyLease;
import org.lovagethread.gateway.duty.FleetManager;
import org.lovagethread.gateway.duty.UsageLedger;
import org.lovagethread.gateway.duty.UsageReporter;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.log.GatewayMetrics;
import org.lovagethread.gateway.log.LogRateLimiter;
import org.lovagethread.gateway.peer.ClusterClock;
import org.lovagethread.gateway.peer.PeerTable;
import org.lovagethread.gateway.policy.AddressPolicy;
import org.lovagethread.gateway.policy.Admission;
import org.lovagethread.gateway.policy.LagDetector;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.policy.RetryBudget;
import org.lovagethread.gateway.policy.TokenQuota;
import org.lovagethread.gateway.policy.Zones;
import org.lovagethread.gateway.store.Scheduler;
import org.lovagethread.gateway.store.StateSync;
import org.lovagethread.gateway.upstream.UpstreamTable;
import org.lovagethread.wire.generated.GatewayDatagram;

/** One gateway: accepts requests, passes them on, and keeps its state in step with the store and its peers. */
public final class Gateway implements RequestContext, Scheduler, DutyLease.Clocks {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long TICK_MILLIS = 20;
    private static final int MOST_LINES_PER_SECOND = 40;
    private static final int ACCEPT_BACKLOG = 1_024;

    private final GatewaySettings settings;
    private final Ports ports;
    private final EventLog log;
    private final GatewayMetrics metrics = new GatewayMetrics();
    private final NioEventLoopGroup group = new NioEventLoopGroup(1, new DefaultThreadFactory("gateway", false));
    private final EventLoop loop = group.next();
    private final long startNanos = System.nanoTime();
    private final long incarnation = System.currentTimeMillis();
    private final UpstreamTable upstreams = new UpstreamTable();
    private final Admission admission = new Admission();
    private final TokenQuota quota;
    private final ClusterClock clock = new ClusterClock();
    private final LogRateLimiter answered = new LogRateLimiter(MOST_LINES_PER_SECOND);
    private final LogRateLimiter refusedLines = new LogRateLimiter(MOST_LINES_PER_SECOND);
    private final LagDetector lag = new LagDetector();
    private final CountDownLatch stopped = new CountDownLatch(1);
    private final AddressPolicy addresses;
    private final PeerTable peers;
    private final Placement placement;
    private final RetryBudget retries;
    private final UsageLedger usage;
    private final StateSync sync;
    private final DutyLease lease;
    private final UsageReporter reporter;
    private final FleetManager fleet;
    private final NettyUpstreamClient client;
    private final FrontServer front;
    private final PeerExchange exchange;
    private final Shutdown shutdown;
    private long ticks;
    private boolean heldLease;

    /**
     * Creates a gateway that does not listen yet.
     *
     * @param settings the settings
     * @param portsFactory creates the ports to the platform
     * @param log takes log lines
     */
    public Gateway(GatewaySettings settings, Function<HttpCaller, Ports> portsFactory, EventLog log) {
        this.settings = settings;
        this.log = log;
        HttpCaller http = new HttpCaller(loop);
        this.ports = portsFactory.apply(http);
        GatewaySettings.Bounds bounds = settings.bounds();
        Zones zones = new Zones(settings.zone(), settings.regionByZone());
        this.addresses = new AddressPolicy(zones);
        this.quota = new TokenQuota(bounds.quotaTolerance(), bounds.quotaToleranceTokens());
        this.peers = new PeerTable(settings.host(), settings.zone(), settings.capacity());
        this.placement = new Placement(zones);
        this.retries = new RetryBudget(bounds.retryRatio(), bounds.retryAllowance(), bounds.retryWindowMillis());
        this.usage = new UsageLedger(bounds.usageWindowMillis(), this::trueMillis);
        this.sync = new StateSync(ports.store(), ports.decoder(), upstreams, this, log);
        this.lease = new DutyLease(ports.store(), settings.node() + '#' + incarnation, this, sync::recordCall);
        this.reporter = new UsageReporter(
                ports.store(),
                ports.duties(),
                usage,
                bounds.usageLateMillis(),
                this::trueMillis,
                this::nowMillis,
                lease::fence,
                log);
        this.fleet = new FleetManager(ports.duties(), upstreams, this::nowMillis, lease::fence, log);
        this.client = new NettyUpstreamClient(loop, ports.callers(), this::nowMillis);
        this.front = new FrontServer(this, new Intake(ports.callers(), quota, Math::random));
        this.exchange = new PeerExchange(this, http);
        this.shutdown = new Shutdown(this, bounds);
    }

    /**
     * Listens and begins to follow the store.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void start() throws InterruptedException {
        listen(settings.front(), front::accept);
        listen(settings.ready(), channel -> SimpleServer.accept(channel, this::entryAnswer));
        listen(settings.directory(), channel -> SimpleServer.accept(channel, this::entryAnswer));
        listen(settings.metrics(), channel -> SimpleServer.accept(channel, request -> metricsAnswer()));
        listen(peerAddress(), channel -> SimpleServer.accept(channel, this::peerAnswer));
        exchange.open(loop);
        log.add(log.line("started").put("incarnation", incarnation).put("zone", settings.zone()));
        loop.execute(exchange::start);
        loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Asks callers to leave and stops when their requests have ended, at the latest before the platform kills the process.
     */
    public void stop() {
        loop.execute(shutdown::begin);
    }

    /**
     * Waits until the gateway has stopped.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void awaitStop() throws InterruptedException {
        stopped.await();
    }

    void halt() {
        log.add(log.line("stopped"));
        stopped.countDown();
    }

    private void listen(InetSocketAddress address, Consumer<SocketChannel> accepted) throws InterruptedException {
        new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accepted.accept(channel);
                    }
                })
                .bind(address)
                .sync();
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
        lag.ticked(nowMillis);
        front.tick(nowMillis, shutdown.idleDeadlineMillis());
        shutdown.tick(nowMillis);
        exchange.tick(nowMillis);
        if (ticks % 5 == 0) {
            lease.tick(sync.isComplete() && !front.draining() && exchange.eldest(nowMillis));
            noteLease();
            reporter.tick();
            configuration().ifPresent(inForce -> fleet.tick(inForce, quota.tokensPerSecond(nowMillis)));
        }
        if (ticks % 25 == 0) {
            client.tick(nowMillis);
            quota.expire(nowMillis);
            for (String id : upstreams.expire(nowMillis)) {
                log.add(log.line("upstream-gone").put("upstream", id));
            }
        }
    }

    private void noteLease() {
        if (lease.holds() != heldLease) {
            heldLease = lease.holds();
            log.add(log.line(heldLease ? "lease-taken" : "lease-lost")
                    .put("fence", lease.lastFence())
                    .put("store_reachable", sync.storeHealth().isReachable()));
        }
    }

    private SimpleServer.Answer entryAnswer(FullHttpRequest request) {
        if (ports.entry().readinessCheck(request.uri())) {
            return SimpleServer.Answer.empty(ready() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
        Optional<EntryProtocol.DirectoryQuery> query = ports.entry().directoryQuery(request.uri());
        if (query.isEmpty()) {
            return SimpleServer.Answer.empty(HttpResponseStatus.NOT_FOUND);
        }
        var chosen = addresses.choose(query.get().zone(), exchange.gateways(nowMillis()));
        if (chosen.isEmpty()) {
            return SimpleServer.Answer.empty(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
        int port = settings.front().getPort();
        byte[] body = ports.entry()
                .directoryAnswer(
                        chosen.stream().map(host -> host + ':' + port).toList(),
                        Math.min(AddressPolicy.KEEP_MILLIS, settings.bounds().mostAddressMillis()));
        return new SimpleServer.Answer(HttpResponseStatus.OK, "application/json", ByteString.copyFrom(body));
    }

    private SimpleServer.Answer metricsAnswer() {
        metrics.setState(
                "configuration_version",
                configuration().map(GatewayConfiguration::version).orElse(-1L));
        metrics.setState("gateways_live", peers.livePeers(nowMillis()).size() + 1);
        metrics.setState("holds_lease", lease.holds() ? 1 : 0);
        metrics.setState("log_lines_dropped", log.droppedLines());
        metrics.setState("ready", ready() ? 1 : 0);
        metrics.setState("requests_in_progress", front.busy());
        metrics.setState("store_reachable", sync.storeHealth().isReachable() ? 1 : 0);
        metrics.setState("upstream_connections_opened", client.opened());
        return new SimpleServer.Answer(
                HttpResponseStatus.OK, "text/plain; version=0.0.4", ByteString.copyFrom(metrics.exposition()));
    }

    void refused(HttpRequest request, Refusal refusal, long version) {
        metrics.recordRefusal(refusal.kind().label());
        if (!refusedLines.tryAcquire(nowMillis())) {
            return;
        }
        log.add(log.line("request-refused")
                .put("omitted_before", refusedLines.resetOmitted())
                .put("request", ports.callers().attributes(request).requestId())
                .put("outcome", refusal.kind().label())
                .put("configuration", version)
                .put("retry_after_ms", refusal.retryAfterMillis()));
    }

    @Override
    public void ended(Exchange ended, ExchangeRecord record) {
        AdmittedRequest admitted = record.admitted();
        String customer = admitted.customer().map(owner -> owner.name()).orElse("");
        metrics.recordRequest(admitted.route().name(), customer, record.outcome(), record.answerMillis());
        if (record.ordinary() && !answered.tryAcquire(nowMillis())) {
            return;
        }
        log.add(record.line(log.line("request-ended"))
                .put(
                        "configuration",
                        configuration().map(GatewayConfiguration::version).orElse(-1L))
                .put("omitted_before", answered.resetOmitted()));
    }

    boolean ready() {
        return sync.isComplete() && !front.draining();
    }

    /** Gives back what was charged for a request that is not begun. */
    void refund(AdmittedRequest admitted) {
        admitted.customer().ifPresent(owner -> quota.refund(owner.name(), tokens(admitted.call(), owner)));
    }

    boolean late() {
        return lag.late(nowMillis());
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

    ClusterClock clock() {
        return clock;
    }

    DutyLease lease() {
        return lease;
    }

    FrontServer front() {
        return front;
    }

    Ports ports() {
        return ports;
    }

    long incarnation() {
        return incarnation;
    }

    Optional<GatewayConfiguration> configuration() {
        return sync.configuration();
    }

    double silentShare() {
        long now = nowMillis();
        return Math.min(
                1.0,
                (double) (peers.unreachableCount(now) + exchange.silentElsewhere(now)) / peers.estimatedGateways());
    }

    void sendToPeers(GatewayDatagram datagram, Set<String> hosts) {
        exchange.send(datagram, hosts);
    }

    private long trueMillis() {
        return clock.currentMillis(wallMillis(), steadyMillis());
    }

    private InetSocketAddress peerAddress() {
        return new InetSocketAddress(settings.metrics().getAddress(), settings.peerPort());
    }

    private SimpleServer.Answer peerAnswer(FullHttpRequest request) {
        ByteString body =
                switch (request.uri()) {
                    case PeerExchange.CONFIGURATION_URI -> sync.compressedConfiguration()
                            .orElse(ByteString.EMPTY);
                    case PeerExchange.UPSTREAMS_URI -> sync.compressedUpstreams();
                    default -> ByteString.EMPTY;
                };
        return new SimpleServer.Answer(HttpResponseStatus.OK, "application/octet-stream", body);
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
    public long steadyMillis() {
        return nowMillis();
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public CallerProtocol protocol() {
        return ports.callers();
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

    @Override
    public Admission admission() {
        return admission;
    }

    @Override
    public RetryBudget retries() {
        return retries;
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
    public UpstreamClient client() {
        return client;
    }

    @Override
    public int gateways() {
        return peers.estimatedGateways();
    }
}
