package org.lovagethread.gateway.log;

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
     * Sets a gauge of the state of the gateway.
     *
     * @param name the name label of the gauge
     * @param value the current value
     */
    public void setState(String name, long value) {
        stateGauges.labelValues(name).set((double) value);
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
