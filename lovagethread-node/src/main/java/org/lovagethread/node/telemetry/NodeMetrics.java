package org.lovagethread.node.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import org.lovagethread.core.call.CallRequest;
import org.lovagethread.core.command.DecisionKind;
import org.lovagethread.core.config.Configuration;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.node.caller.CallMetrics;

/**
 * The metrics of a node. Customers, services and classes that the active configuration does not declare share the label
 * value {@code other}.
 */
public final class NodeMetrics implements CallMetrics {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final String OTHER_LABEL = "other";

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Histogram responseStartSeconds = Histogram.builder()
            .name("lovagethread_answer_start_seconds")
            .help("Time from the arrival of a call to the start of its answer.")
            .labelNames("customer", "service", "class")
            .classicOnly()
            .classicUpperBounds(0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.4, 0.79, 1.5, 3, 10)
            .register(registry);
    private final Counter decisions = Counter.builder()
            .name("lovagethread_decisions_total")
            .help("Decisions about calls.")
            .labelNames("decision")
            .register(registry);
    private final Counter refusals = Counter.builder()
            .name("lovagethread_refusals_total")
            .help("Calls refused, by kind of error.")
            .labelNames("kind")
            .register(registry);
    private final Gauge configurationRevision = Gauge.builder()
            .name("lovagethread_configuration_revision")
            .help("Configuration revision in force on the node.")
            .register(registry);
    private final Gauge queueDepth = Gauge.builder()
            .name("lovagethread_ring_depth")
            .help("Entries waiting in a ring.")
            .labelNames("ring")
            .register(registry);
    private final Map<String, IntSupplier> queues = new ConcurrentHashMap<>();
    private volatile Set<String> classes = Set.of();
    private volatile Set<String> customers = Set.of();
    private volatile Set<String> services = Set.of();

    @Override
    public void recordResponse(CallRequest request, Optional<ErrorKind> refusal, long elapsedNanos) {
        if (refusal.isPresent()) {
            refusals.labelValues(refusal.get().label()).inc();
            return;
        }
        responseStartSeconds
                .labelValues(
                        labelOrOther(customers, request.customer()),
                        labelOrOther(services, request.service()),
                        labelOrOther(classes, request.className()))
                .observe(elapsedNanos / NANOS_PER_SECOND);
    }

    /**
     * Sets the revision and the permitted label values from the active configuration.
     *
     * @param configuration the configuration
     */
    public void updateConfiguration(Configuration configuration) {
        customers = Set.copyOf(
                configuration.customers().stream().map(entry -> entry.name()).toList());
        services = Set.copyOf(
                configuration.services().stream().map(entry -> entry.name()).toList());
        classes = Set.copyOf(configuration.classes().stream()
                .map(entry -> entry.name())
                .distinct()
                .toList());
        configurationRevision.set((double) configuration.revision());
    }

    /**
     * Records a decision.
     *
     * @param decision the decision
     */
    public void recordDecision(DecisionKind decision) {
        decisions.labelValues(decision.label()).inc();
    }

    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @return the text
     */
    public String exposition() {
        queues.forEach((queue, depth) -> queueDepth.labelValues(queue).set(depth.getAsInt()));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.builder().build().write(bytes, registry.scrape());
        } catch (IOException e) {
            throw new IllegalStateException("cannot write metrics to memory", e);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    /**
     * Registers a queue whose depth is reported.
     *
     * @param queue the name of the queue
     * @param depth returns the number of entries in the queue
     */
    public void registerQueue(String queue, IntSupplier depth) {
        queues.put(queue, depth);
    }

    private static String labelOrOther(Set<String> names, String name) {
        if (name.isEmpty()) {
            return "";
        }
        return names.contains(name) ? name : OTHER_LABEL;
    }
}
