package org.lovagethread.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.RouteKind;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.duty.UsageLedger;
import org.lovagethread.gateway.engine.EngineModels;
import org.lovagethread.gateway.exchange.ResponseWriter;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.policy.Admission;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.policy.PromptPrefix;
import org.lovagethread.gateway.policy.PromptQuarantine;
import org.lovagethread.gateway.policy.RetryBudget;
import org.lovagethread.gateway.policy.TokenQuota;
import org.lovagethread.gateway.policy.ZoneTopology;
import org.lovagethread.gateway.rollout.RolloutLog;
import org.lovagethread.gateway.rollout.RolloutTable;
import org.lovagethread.gateway.store.FakeStore;
import org.lovagethread.gateway.stream.StreamOriginLookup;
import org.lovagethread.gateway.stream.StreamOrigins;
import org.lovagethread.gateway.stream.StreamQueries;
import org.lovagethread.gateway.stream.StreamVersions;
import org.lovagethread.gateway.stream.VersionRecorder;
import org.lovagethread.gateway.upstream.BrittleNotice;
import org.lovagethread.gateway.upstream.PauseRequest;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamTable;

/** Simulates the upstreams, the caller and the clock of one exchange. */
final class FakeExchangeContext implements ExchangeContext, HeaderCodec, UpstreamClient, ResponseWriter {
    static final String NOT_RUN = "not-run";
    static final String PROOF = "proof";
    static final String LEAVING = "leaving";
    static final String BRITTLE = "brittle";

    final List<FakeAttempt> attempts = new ArrayList<>();
    final StringBuilder streamedEvents = new StringBuilder();
    final UpstreamTable upstreams = new UpstreamTable();
    ResponseMemory responseMemory = new ResponseMemory(Long.MAX_VALUE);
    final UsageLedger usage = new UsageLedger(5_000, this::nowMillis);
    final PromptQuarantine promptQuarantine = new PromptQuarantine();
    RolloutTable rollouts = new RolloutTable(
            Optional.empty(),
            new ZoneTopology("a", Map.of("a", "north")),
            "g",
            () -> 0,
            new RolloutLog(new EventLog("g", new ByteArrayOutputStream())));
    long currentMillis = 1_000;
    long unobservedMillis;
    RetryBudget retryBudget = new RetryBudget(0.2, 52, 10_000);
    HttpMethod method = HttpMethod.POST;
    PromptPrefix prefix = PromptPrefix.NONE;
    final FakeStore store = new FakeStore();
    boolean storeOutage;
    RelayFallback fallback = RelayFallback.NONE;
    Optional<String> apiKey = Optional.empty();
    final StreamVersions versions = new StreamVersions();
    OptionalLong lastEventId = OptionalLong.empty();
    Optional<String> resumedRequestId = Optional.empty();
    private final StreamOriginLookup lookup =
            new StreamOriginLookup(store, this::nowMillis, processed -> {}, () -> storeOutage);
    private final VersionRecorder recorder =
            new VersionRecorder(store, versions, store::era, this::nowMillis, () -> 0, processed -> {});
    private final StreamOrigins streamOrigins = new StreamOrigins(
            versions,
            new StreamQueries(versions, "10.0.0.9", 0, Set::of, (datagram, hosts) -> {}),
            lookup,
            recorder,
            this::gatewayCount,
            store::era,
            this::nowMillis);
    String response = "";
    Optional<RuntimeException> responseFailure = Optional.empty();
    Optional<RuntimeException> sendFailure = Optional.empty();
    ExchangeRecord record;
    long pauseMillis;
    long retryAfterMillis;
    final List<Runnable> tasks = new ArrayList<>();
    private final RoomQueue roomQueue = new RoomQueue(tasks::add, this::nowMillis);
    private final EngineModels engineModels = new EngineModels();
    private final TokenQuota quota = new TokenQuota(0, 0, 0, () -> 0.5);
    private final Placement placement = new Placement(new ZoneTopology("a", Map.of("a", "north")), engineModels);

    /** An attempt at an upstream, whose response the test determines. */
    static final class FakeAttempt implements RequestHandle {
        final UpstreamEntry upstream;
        final long lastEventId;
        final Listener listener;
        boolean cancelled;

        FakeAttempt(UpstreamEntry upstream, long lastEventId, Listener listener) {
            this.upstream = upstream;
            this.lastEventId = lastEventId;
            this.listener = listener;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }

        @Override
        public void setReading(boolean reading) {}

        void sendHeader(int status, String header) {
            sendHeader(status, header, "text/event-stream");
        }

        void sendHeader(int status, String header, String mediaType) {
            HttpResponse responseHeader =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            responseHeader.headers().set(header, "1").set("Content-Type", mediaType);
            listener.onHeader(responseHeader);
        }

        void sendData(String text) {
            listener.onData(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            listener.onReadComplete();
        }

        void respond(int status, String header, String body) {
            sendHeader(status, header);
            sendData(body);
            listener.onEnd();
        }
    }

    FakeExchangeContext(int upstreamCount) {
        for (int i = 0; i < upstreamCount; i++) {
            upstreams.put(new UpstreamEntry("i-" + i, "desk", "10.0.0." + i, 80, "a", 6, false, false, 1), 1, 0);
        }
    }

    Exchange start(RouteKind kind, boolean resumable, int maxUpstreams) {
        Route route = Route.builder("r")
                .match("h", "/")
                .kind(kind, resumable, maxUpstreams)
                .times(2_500, 150, 250)
                .services(List.of(new Route.WeightedService("desk", 1)))
                .build();
        ServiceSpec service = new ServiceSpec("desk", 96, Optional.empty(), Optional.empty());
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, "/x");
        AdmittedRequest admitted = new AdmittedRequest(
                request,
                Unpooled.EMPTY_BUFFER,
                readAttributes(request),
                route,
                service,
                Optional.empty(),
                OptionalLong.empty());
        Exchange exchange = new Exchange(this, this, admitted, fallback, currentMillis);
        exchange.start();
        return exchange;
    }

    FakeAttempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    @Override
    public RequestHandle send(
            UpstreamEntry upstream,
            HttpRequest request,
            HttpHeaders headers,
            ByteBuf body,
            boolean requireFresh,
            Listener listener) {
        failIfSet(sendFailure);
        FakeAttempt attempt = new FakeAttempt(upstream, Long.parseLong(headers.get("last")), listener);
        attempts.add(attempt);
        return attempt;
    }

    @Override
    public RequestAttributes readAttributes(HttpRequest request) {
        return new RequestAttributes(
                request.headers().get("X-Request-Id", "id"),
                apiKey,
                OptionalLong.of(2_500),
                OptionalInt.empty(),
                0,
                prefix,
                lastEventId,
                resumedRequestId);
    }

    @Override
    public HttpHeaders createUpstreamHeaders(HttpRequest request, AttemptAttributes attempt) {
        return new DefaultHttpHeaders().set("last", attempt.lastEventId());
    }

    @Override
    public boolean statesNotRun(HttpResponse response) {
        return response.headers().contains(NOT_RUN);
    }

    @Override
    public LeavingNotice leavingNotice(HttpResponse response) {
        return response.headers().contains(LEAVING) ? LeavingNotice.LEAVING : LeavingNotice.NONE;
    }

    @Override
    public BrittleNotice brittleNotice(HttpResponse response) {
        return response.headers().contains(BRITTLE)
                ? BrittleNotice.stated(response.headers().getInt(BRITTLE))
                : BrittleNotice.NONE;
    }

    @Override
    public Optional<PauseRequest> pauseRequest(HttpResponse rejection) {
        return pauseMillis > 0 && rejection.headers().contains(NOT_RUN)
                ? Optional.of(new PauseRequest(PauseRequest.Form.REGULAR, pauseMillis))
                : Optional.empty();
    }

    @Override
    public boolean promisesNotRun(HttpResponseStatus status) {
        return status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
                || status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    @Override
    public Optional<String> proofOfOrigin(HttpHeaders headers) {
        return Optional.ofNullable(headers.get(PROOF));
    }

    @Override
    public Set<String> responseRequestIds(HttpHeaders headers) {
        return headers.getAll("X-Request-Id").stream()
                .filter(id -> !id.isBlank())
                .collect(Collectors.toSet());
    }

    private void failIfSet(Optional<RuntimeException> failure) {
        failure.ifPresent(exception -> {
            throw exception;
        });
    }

    @Override
    public void sendResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        failIfSet(responseFailure);
        response = status.code() + " " + body.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void sendError(ErrorKind kind, long retryMillis) {
        response = kind.status() + " " + kind.label();
        retryAfterMillis = retryMillis;
    }

    @Override
    public void startStream(HttpResponseStatus status, HttpHeaders headers) {
        failIfSet(responseFailure);
        response = status.code() + " stream";
    }

    @Override
    public void addStreamData(ByteBuf bytes) {
        failIfSet(responseFailure);
        streamedEvents.append(bytes.toString(StandardCharsets.UTF_8));
    }

    @Override
    public boolean flushStream() {
        return true;
    }

    @Override
    public void endStream() {
        response += " complete";
    }

    @Override
    public void abort() {
        response += " aborted";
    }

    @Override
    public HeaderCodec headerCodec() {
        return this;
    }

    @Override
    public UpstreamTable upstreams() {
        return upstreams;
    }

    @Override
    public long upstreamsRevision() {
        return 1;
    }

    @Override
    public Placement placement() {
        return placement;
    }

    @Override
    public RolloutTable rollouts() {
        return rollouts;
    }

    @Override
    public EngineModels engineModels() {
        return engineModels;
    }

    @Override
    public Admission admission() {
        return new Admission();
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

    /** Observes the upstreams and records their versions, as a gateway does between requests. */
    void observeVersions() {
        versions.observe(upstreams.all(), OptionalLong.of(currentMillis), currentMillis);
        recorder.tick(Set.of("desk"), 1, true, currentMillis);
    }

    @Override
    public StreamOrigins streamOrigins() {
        return streamOrigins;
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
        return this;
    }

    @Override
    public int gatewayCount() {
        return 1;
    }

    @Override
    public long nowMillis() {
        return currentMillis;
    }

    @Override
    public long observedMillis() {
        return currentMillis - unobservedMillis;
    }

    @Override
    public void onExchangeEnded(Exchange exchange, ExchangeRecord ended) {
        record = ended;
    }
}
