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
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.gateway.config.Route;
import org.lovagethread.gateway.config.RouteKind;
import org.lovagethread.gateway.config.ServiceSpec;
import org.lovagethread.gateway.duty.UsageLedger;
import org.lovagethread.gateway.policy.Admission;
import org.lovagethread.gateway.policy.Placement;
import org.lovagethread.gateway.policy.PromptPrefix;
import org.lovagethread.gateway.policy.RetryBudget;
import org.lovagethread.gateway.policy.TokenQuota;
import org.lovagethread.gateway.policy.ZoneTopology;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamTable;

/** Plays upstreams, a caller and time for one exchange. */
final class FakeContext implements RequestContext, CallerProtocol, UpstreamClient, Caller {
    static final String NOT_RUN = "not-run";
    static final String PROOF = "proof";

    final List<FakeSend> sends = new ArrayList<>();
    final StringBuilder streamed = new StringBuilder();
    final UpstreamTable upstreams = new UpstreamTable();
    final UsageLedger usage = new UsageLedger(5_000, this::nowMillis);
    long now = 1_000;
    RetryBudget retries = new RetryBudget(0.2, 52, 10_000);
    String answer = "";
    ExchangeRecord record;
    private final TokenQuota quota = new TokenQuota(0, 0);
    private final Placement placement = new Placement(new ZoneTopology("a", Map.of("a", "north")));

    /** One send to an upstream. */
    static final class FakeSend implements Send {
        final UpstreamEntry upstream;
        final long lastEventId;
        final Listener listener;
        boolean cancelled;

        FakeSend(UpstreamEntry upstream, long lastEventId, Listener listener) {
            this.upstream = upstream;
            this.lastEventId = lastEventId;
            this.listener = listener;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }

        @Override
        public void reading(boolean reading) {}

        void head(int status, String header) {
            HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            head.headers().set(header, "1");
            listener.head(head);
        }

        void data(String text) {
            listener.data(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        }

        void answer(int status, String header, String body) {
            head(status, header);
            data(body);
            listener.end();
        }
    }

    FakeContext(int upstreamCount) {
        for (int i = 0; i < upstreamCount; i++) {
            upstreams.put(new UpstreamEntry("i-" + i, "desk", "10.0.0." + i, 80, "a", 6, false, false, 1), 0);
        }
    }

    Exchange start(RouteKind kind, boolean resumable, int mostUpstreams) {
        Route route = Route.builder("r")
                .match("h", "/")
                .kind(kind, resumable, mostUpstreams)
                .times(2_500, 150, 250)
                .services(List.of(new Route.WeightedService("desk", 1)))
                .build();
        ServiceSpec service = new ServiceSpec("desk", 96, Optional.empty(), Optional.empty());
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/x");
        AdmittedRequest admitted = new AdmittedRequest(
                request, Unpooled.EMPTY_BUFFER, attributes(request), route, service, Optional.empty());
        Exchange exchange = new Exchange(this, this, admitted, now);
        exchange.start();
        return exchange;
    }

    FakeSend last() {
        return sends.get(sends.size() - 1);
    }

    @Override
    public Send send(
            UpstreamEntry upstream,
            HttpRequest request,
            HttpHeaders headers,
            ByteBuf body,
            boolean fresh,
            Listener listener) {
        FakeSend send = new FakeSend(upstream, Long.parseLong(headers.get("last")), listener);
        sends.add(send);
        return send;
    }

    @Override
    public CallAttributes attributes(HttpRequest request) {
        return new CallAttributes(
                "id",
                Optional.empty(),
                OptionalLong.of(2_500),
                OptionalInt.empty(),
                0,
                PromptPrefix.NONE,
                OptionalLong.empty());
    }

    @Override
    public HttpHeaders upstreamHeaders(HttpRequest request, SendAttributes send) {
        return new DefaultHttpHeaders().set("last", send.lastEventId());
    }

    @Override
    public boolean notRun(HttpResponse response) {
        return response.headers().contains(NOT_RUN);
    }

    @Override
    public Optional<String> proof(HttpHeaders headers) {
        return Optional.ofNullable(headers.get(PROOF));
    }

    @Override
    public Optional<String> answeredId(HttpHeaders headers) {
        return Optional.of("id");
    }

    @Override
    public void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        answer = status.code() + " " + body.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void refuse(ErrorKind kind, long retryAfterMillis) {
        answer = kind.status() + " " + kind.label();
    }

    @Override
    public void startStream(HttpResponseStatus status, HttpHeaders headers) {
        answer = status.code() + " stream";
    }

    @Override
    public boolean streamData(ByteBuf bytes) {
        streamed.append(bytes.toString(StandardCharsets.UTF_8));
        return true;
    }

    @Override
    public void endStream() {
        answer += " complete";
    }

    @Override
    public void abort() {
        answer += " cut";
    }

    @Override
    public CallerProtocol protocol() {
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
    public Admission admission() {
        return new Admission();
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
        return this;
    }

    @Override
    public int gateways() {
        return 1;
    }

    @Override
    public long nowMillis() {
        return now;
    }

    @Override
    public void ended(Exchange exchange, ExchangeRecord ended) {
        record = ended;
    }
}
