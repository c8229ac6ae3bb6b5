package org.lovagethread.supplier.trace;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.lovagethread.core.CoreSettings;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.trace.TraceEntry;

/** File format of traces: one JSON line with the settings of the core, followed by one JSON line per event. */
public final class TraceFormat {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .addMixIn(Event.class, TypedByName.class)
            .build();

    private TraceFormat() {}

    @JsonTypeInfo(use = JsonTypeInfo.Id.MINIMAL_CLASS, property = "event")
    private interface TypedByName {}

    /**
     * Settings of the core whose events were recorded.
     *
     * @param node the name of the node
     * @param address the host and port for callers
     * @param addressLifetimeMillis how long a caller may use the addresses that were resolved for it
     * @param incarnation the start time of the process
     * @param peerAddress the host and port for peers
     * @param region the region
     * @param seed the seed of the random number generator
     * @param stopGraceMillis how long after a stop request streams may continue before they are handed over
     * @param zone the availability zone
     */
    public record Header(
            String node,
            String address,
            long addressLifetimeMillis,
            long incarnation,
            String peerAddress,
            String region,
            long seed,
            long stopGraceMillis,
            String zone) {

        /**
         * Returns the header for a core.
         *
         * @param settings the settings of the core
         * @return the header
         */
        public static Header of(CoreSettings settings) {
            return new Header(
                    settings.node(),
                    settings.address(),
                    settings.addressLifetimeMillis(),
                    settings.incarnation(),
                    settings.peerAddress(),
                    settings.region(),
                    settings.seed(),
                    settings.stopGraceMillis(),
                    settings.zone());
        }

        /**
         * Returns the settings of the core.
         *
         * @return the settings
         */
        public CoreSettings toSettings() {
            return CoreSettings.builder(node)
                    .address(address)
                    .addressLifetimeMillis(addressLifetimeMillis)
                    .incarnation(incarnation)
                    .peerAddress(peerAddress)
                    .region(region)
                    .seed(seed)
                    .stopGraceMillis(stopGraceMillis)
                    .zone(zone)
                    .build();
        }
    }

    /**
     * Complete trace.
     *
     * @param header the settings of the core
     * @param entries the events in order
     */
    public record Trace(Header header, List<TraceEntry> entries) {

        /** Copies the list. */
        public Trace {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Parses a trace.
     *
     * @param text the content of the file
     * @return the trace, or a message with the line number of the first error
     */
    public static Either<String, Trace> read(String text) {
        List<TraceEntry> entries = new ArrayList<>();
        String[] lines = text.split("\n", -1);
        int number = 1;
        try {
            Header header = MAPPER.readValue(lines[0], Header.class);
            for (number = 2; number <= lines.length; number++) {
                String line = lines[number - 1];
                if (!line.isBlank()) {
                    entries.add(MAPPER.readValue(line, TraceEntry.class));
                }
            }
            return Either.right(new Trace(header, entries));
        } catch (JsonProcessingException e) {
            return Either.left("line " + number + ": " + e.getOriginalMessage());
        }
    }

    /**
     * Formats a trace.
     *
     * @param header the settings of the core
     * @param entries the events in order
     * @return the content of the file
     */
    public static String write(Header header, List<TraceEntry> entries) {
        StringBuilder text = new StringBuilder();
        try {
            text.append(MAPPER.writeValueAsString(header)).append('\n');
            for (TraceEntry entry : entries) {
                text.append(MAPPER.writeValueAsString(entry)).append('\n');
            }
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("trace cannot be serialized to JSON", e);
        }
        return text.toString();
    }
}
