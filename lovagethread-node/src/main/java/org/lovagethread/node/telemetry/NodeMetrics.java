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

/** Holds the metrics of a node. Customers and classes that are not declared share the label {@code other}. */
public final class NodeMetrics implements CallMetrics {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final String OTHER = "other";

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Histogram answerSeconds = Histogram.builder()
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
    private final Gauge revision = Gauge.builder()
            .name("lovagethread_configuration_revision")
            .help("Configuration revision in force on the node.")
            .register(registry);
    private final Gauge ringDepth = Gauge.builder()
            .name("lovagethread_ring_depth")
            .help("Entries waiting in a ring.")
            .labelNames("ring")
            .register(registry);
    private final Map<String, IntSupplier> rings = new ConcurrentHashMap<>();
    private volatile Set<String> classes = Set.of();
    private volatile Set<String> customers = Set.of();
    private volatile Set<String> services = Set.of();

    @Override
    public void answered(CallRequest request, Optional<ErrorKind> refusal, long nanos) {
        if (refusal.isPresent()) {
            refusals.labelValues(refusal.get().label()).inc();
            return;
        }
        answerSeconds
                .labelValues(
                        known(customers, request.customer()),
                        known(services, request.service()),
                        known(classes, request.className()))
                .observe(nanos / NANOS_PER_SECOND);
    }

    /**
     * Takes the labels that may appear from the configuration in force.
     *
     * @param configuration the configuration
     */
    public void configured(Configuration configuration) {
        customers = Set.copyOf(
                configuration.customers().stream().map(entry -> entry.name()).toList());
        services = Set.copyOf(
                configuration.services().stream().map(entry -> entry.name()).toList());
        classes = Set.copyOf(configuration.classes().stream()
                .map(entry -> entry.name())
                .distinct()
                .toList());
        revision.set((double) configuration.revision());
    }

    /**
     * Counts a decision.
     *
     * @param decision the decision
     */
    public void decided(DecisionKind decision) {
        decisions.labelValues(decision.label()).inc();
    }

    /**
     * Returns all metrics in the Prometheus text format.
     *
     * @return the text
     */
    public String exposition() {
        rings.forEach((ring, depth) -> ringDepth.labelValues(ring).set(depth.getAsInt()));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.builder().build().write(bytes, registry.scrape());
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
        return bytes.toString(StandardCharsets.UTF_8);
    }

    /**
     * Shows the depth of a ring from now on.
     *
     * @param ring the name of the ring
     * @param depth tells the number of entries that wait
     */
    public void watchRing(String ring, IntSupplier depth) {
        rings.put(ring, depth);
    }

    private static String known(Set<String> names, String name) {
        if (name.isEmpty()) {
            return "";
        }
        return names.contains(name) ? name : OTHER;
    }
}
