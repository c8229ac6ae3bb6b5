package org.lovagethread.gateway.log;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;

/** The Prometheus metrics of a gateway. */
public final class GatewayMetrics {
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests = Counter.builder()
            .name("lovagethread_requests_total")
            .help("Requests by route, customer and outcome.")
            .labelNames("route", "customer", "outcome")
            .register(registry);
    private final Histogram responseTimes = Histogram.builder()
            .name("lovagethread_answer_start_seconds")
            .help("Time from the arrival of a request to its answer or first event.")
            .labelNames("route", "customer")
            .classicOnly()
            .classicUpperBounds(0.01, 0.03, 0.1, 0.15, 0.3, 0.4, 0.6, 0.8, 1.2, 2.5, 5, 10)
            .register(registry);
    private final Counter refusals = Counter.builder()
            .name("lovagethread_refusals_total")
            .help("Requests that were not admitted, by kind of error.")
            .labelNames("kind")
            .register(registry);
    private final Counter connectionFailures = Counter.builder()
            .name("lovagethread_connection_failures_total")
            .help("Connections of callers that ended with an error.")
            .labelNames("cause")
            .register(registry);
    private final Counter closedConnections = Counter.builder()
            .name("lovagethread_connections_closed_total")
            .help("Connections of callers that the gateway closed without a response, by reason.")
            .labelNames("reason")
            .register(registry);
    private final Counter upstreamBreaks = Counter.builder()
            .name("lovagethread_upstream_breaks_total")
            .help("Incarnations of upstreams that broke connections with requests, by whether they crashed.")
            .labelNames("service", "crashed")
            .register(registry);
    private final Counter zoneRequests = Counter.builder()
            .name("lovagethread_zone_requests_total")
            .help("Requests sent by service, zone of the upstream and distance.")
            .labelNames("service", "zone", "distance")
            .register(registry);
    private final Counter zoneBytes = Counter.builder()
            .name("lovagethread_zone_bytes_total")
            .help("Bytes of requests and responses by service, zone of the upstream and distance.")
            .labelNames("service", "zone", "distance")
            .register(registry);
    private final Gauge zoneShares = Gauge.builder()
            .name("lovagethread_zone_share")
            .help("Share of the requests that may leave for another zone, by service and zone.")
            .labelNames("service", "zone")
            .register(registry);
    private final Gauge rolloutGauges = Gauge.builder()
            .name("lovagethread_rollout")
            .help("State and figures of the latest rollout of a service, by name.")
            .labelNames("service", "name")
            .register(registry);
    private final Gauge upstreamSpeeds = Gauge.builder()
            .name("lovagethread_upstream_speed")
            .help("Lowest and highest estimated relative speed of the upstreams of a service.")
            .labelNames("service", "bound")
            .register(registry);
    private final Counter pauseRequests = Counter.builder()
            .name("lovagethread_upstream_pause_requests_total")
            .help("Pauses requested by upstreams, by service and form of the value.")
            .labelNames("service", "form")
            .register(registry);
    private final Gauge pausedUpstreams = Gauge.builder()
            .name("lovagethread_paused_upstreams")
            .help("Upstreams that have requested a pause that has not ended, by service.")
            .labelNames("service")
            .register(registry);
    private final Counter resumptions = Counter.builder()
            .name("lovagethread_resumptions_total")
            .help("Requests that took up a stream, by service, source of its version, and whether they were refused.")
            .labelNames("service", "source", "refused")
            .register(registry);
    private final Counter relayedRequests = Counter.builder()
            .name("lovagethread_relayed_requests_total")
            .help("Requests of callers that were to be passed to a peer, by outcome.")
            .labelNames("outcome")
            .register(registry);
    private final Counter refusedRelays = Counter.builder()
            .name("lovagethread_relays_refused_total")
            .help("Requests offered by peers that were refused, by reason.")
            .labelNames("reason")
            .register(registry);
    private final Gauge stateGauges = Gauge.builder()
            .name("lovagethread_state")
            .help("State of the gateway by name.")
            .labelNames("name")
            .register(registry);

    /**
     * Counts a request that has ended.
     *
     * @param route the name of its route
     * @param customer the name of its customer; an empty string if it has none
     * @param outcome the label of its outcome
     * @param responseMillis the time to its response or first event in milliseconds
     */
    public void recordRequest(String route, String customer, String outcome, long responseMillis) {
        requests.labelValues(route, customer, outcome).inc();
        responseTimes.labelValues(route, customer).observe(responseMillis / MILLIS_PER_SECOND);
    }

    /**
     * Counts a request that was not admitted.
     *
     * @param kind the label of the kind of error
     */
    public void recordRefusal(String kind) {
        refusals.labelValues(kind).inc();
    }

    /**
     * Counts a caller connection that ended with an error.
     *
     * @param cause the label of the kind of error
     */
    public void recordConnectionFailure(String cause) {
        connectionFailures.labelValues(cause).inc();
    }

    /**
     * Counts a caller connection that the gateway closed without a response.
     *
     * @param reason the label of the reason
     */
    public void recordClosedConnection(String reason) {
        closedConnections.labelValues(reason).inc();
    }

    /**
     * Counts an incarnation of an upstream that broke connections with requests.
     *
     * @param service the name of its service
     * @param crashed whether it has sent no data since
     */
    public void recordUpstreamBreak(String service, boolean crashed) {
        upstreamBreaks.labelValues(service, Boolean.toString(crashed)).inc();
    }

    /**
     * Raises the totals of the requests of a service to the upstreams of a zone.
     *
     * @param service the name of the service
     * @param zone the availability zone
     * @param distance the label of the distance to the zone
     * @param requests the number of requests since the start
     * @param bytes the bytes of requests and responses since the start
     */
    public void recordZoneTraffic(String service, String zone, String distance, long requests, long bytes) {
        raise(zoneRequests.labelValues(service, zone, distance), requests);
        raise(zoneBytes.labelValues(service, zone, distance), bytes);
    }

    private static void raise(CounterDataPoint counter, long total) {
        counter.inc(Math.max(0, total - counter.get()));
    }

    /**
     * Sets the share of the requests of a service that may leave for a zone.
     *
     * @param service the name of the service
     * @param zone the availability zone
     * @param share the share
     */
    public void setZoneShare(String service, String zone, double share) {
        zoneShares.labelValues(service, zone).set(share);
    }

    /**
     * Sets the range of the estimated speeds of the upstreams of a service.
     *
     * @param service the name of the service
     * @param lowest the speed of the slowest upstream relative to the typical one
     * @param highest the speed of the fastest upstream relative to the typical one
     */
    public void setUpstreamSpeeds(String service, double lowest, double highest) {
        upstreamSpeeds.labelValues(service, "lowest").set(lowest);
        upstreamSpeeds.labelValues(service, "highest").set(highest);
    }

    /**
     * Counts a pause that an upstream has requested.
     *
     * @param service the name of its service
     * @param form the label of the form of the value
     */
    public void recordPauseRequest(String service, String form) {
        pauseRequests.labelValues(service, form).inc();
    }

    /**
     * Sets the number of paused upstreams of a service.
     *
     * @param service the name of the service
     * @param count the number
     */
    public void setPausedUpstreams(String service, int count) {
        pausedUpstreams.labelValues(service).set(count);
    }

    /**
     * Counts a request that took up a stream.
     *
     * @param service the name of its service
     * @param source the label of the source from which the version of the stream is known
     * @param refused whether it was refused because no upstream of that version could continue the stream
     */
    public void recordResumption(String service, String source, boolean refused) {
        resumptions.labelValues(service, source, Boolean.toString(refused)).inc();
    }

    /**
     * Counts a request of a caller that was to be passed to a peer.
     *
     * @param outcome the label of its outcome
     */
    public void recordRelayedRequest(String outcome) {
        relayedRequests.labelValues(outcome).inc();
    }

    /**
     * Counts a request offered by a peer that was refused.
     *
     * @param reason the label of the reason
     */
    public void recordRefusedRelay(String reason) {
        refusedRelays.labelValues(reason).inc();
    }

    /**
     * Sets a gauge of the state of the gateway.
     *
     * @param name the name label of the gauge
     * @param value the current value
     */
    public void setState(String name, long value) {
        stateGauges.labelValues(name).set((double) value);
    }

    /**
     * Sets a gauge of the rollout of a service.
     *
     * @param service the name of the service
     * @param name the name label of the gauge
     * @param value the current value
     */
    public void setRollout(String service, String name, long value) {
        rolloutGauges.labelValues(service, name).set((double) value);
    }

    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @return the encoded text
     */
    public byte[] exposition() {
        ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.builder().build().write(buffer, registry.scrape());
        } catch (IOException e) {
            throw new IllegalStateException("failed to write to a memory buffer", e);
        }
        return buffer.toByteArray();
    }
}
