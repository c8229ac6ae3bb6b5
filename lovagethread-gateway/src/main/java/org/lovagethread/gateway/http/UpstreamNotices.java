package org.lovagethread.gateway.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.function.LongSupplier;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.log.GatewayMetrics;
import org.lovagethread.gateway.upstream.BrittleNotice;
import org.lovagethread.gateway.upstream.BrittleUpstreams;
import org.lovagethread.gateway.upstream.LeavingMark;
import org.lovagethread.gateway.upstream.UpstreamEntry;
import org.lovagethread.gateway.upstream.UpstreamTable;

/** Applies what upstreams say of themselves in any response. */
final class UpstreamNotices {
    private final HeaderCodec headerCodec;
    private final UpstreamTable upstreams;
    private final LongSupplier clock;
    private final EventLog log;
    private long malformedLeavingNotices;

    UpstreamNotices(HeaderCodec headerCodec, UpstreamTable upstreams, LongSupplier clock, EventLog log) {
        this.headerCodec = headerCodec;
        this.upstreams = upstreams;
        this.clock = clock;
        this.log = log;
    }

    /** Reads the notices of a response before anything else is done with it. */
    void read(UpstreamEntry upstream, HttpResponse response) {
        switch (headerCodec.leavingNotice(response)) {
            case LEAVING -> onLeaving(upstream);
            case MALFORMED -> malformedLeavingNotices++;
            case NONE -> {}
        }
        readBrittleNotice(upstream, response);
    }

    void publish(GatewayMetrics metrics) {
        BrittleUpstreams brittle = upstreams.brittle();
        metrics.setState("malformed_leaving_notices", malformedLeavingNotices);
        metrics.setState("malformed_brittle_notices", brittle.malformedNotices());
        metrics.setState("brittle_upstreams", brittle.statedCount());
        metrics.setState("brittle_upstream_rejections", brittle.rejections());
    }

    /** Marks an upstream as leaving. Peers receive the mark with the next state. */
    private void onLeaving(UpstreamEntry upstream) {
        LeavingMark mark = LeavingMark.announced(upstream);
        if (upstreams.markLeaving(mark, UpstreamTable.LEAVING_MARK_MILLIS, clock.getAsLong())) {
            log.add(log.line("upstream-leaving").put("upstream", mark.text()).put("source", "response"));
        }
    }

    private void readBrittleNotice(UpstreamEntry upstream, HttpResponse response) {
        BrittleNotice notice = headerCodec.brittleNotice(response);
        BrittleUpstreams brittle = upstreams.brittle();
        if (notice.form() == BrittleNotice.Form.NONE && brittle.isEmpty()) {
            return;
        }
        long now = clock.getAsLong();
        boolean saysNothing = notice.form() == BrittleNotice.Form.NONE && !isOfAddressedUpstream(response);
        if (!saysNothing) {
            upstreams
                    .findProcess(upstream.process())
                    .ifPresent(current -> brittle.recordResponse(current, notice, now));
        }
        if (response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE) && headerCodec.statesNotRun(response)) {
            brittle.recordRejection(upstream, now);
        }
    }

    /** Returns whether the response is a final one, and not from another upstream at the same address. */
    private static boolean isOfAddressedUpstream(HttpResponse response) {
        return response.status().codeClass() != HttpStatusClass.INFORMATIONAL
                && !response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
    }
}
