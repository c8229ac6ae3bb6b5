package org.lovagethread.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagethread.supplier.trace.TraceFormat;

/** Tests {@link ReplayCommand} with traces that were recorded in real runs. */
class ReplayCommandTest {
    private static final Path TRACES = Path.of("src", "test", "resources", "traces");

    @TempDir
    private Path tempDir;

    private static int run(ByteArrayOutputStream output, String... args) {
        return CliMain.run(args, new PrintStream(output, true), new PrintStream(output, true));
    }

    @ParameterizedTest
    @ValueSource(strings = {"bookings-with-faults", "streams-with-reclaim"})
    void matchesRecordedOutcomes(String name) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        int status = run(
                output,
                "replay",
                TRACES.resolve(name + ".ndjson").toString(),
                "--expect",
                TRACES.resolve(name + ".json").toString());
        assertThat(status).as(output.toString(StandardCharsets.UTF_8)).isZero();
    }

    @ParameterizedTest
    @ValueSource(strings = {"bookings-with-faults", "streams-with-reclaim"})
    void producesIdenticalOutcomesOnEachReplay(String name) throws IOException {
        TraceFormat.Trace trace = TraceFormat.read(Files.readString(TRACES.resolve(name + ".ndjson")))
                .get();
        assertThat(ReplayCommand.replay(trace)).isEqualTo(ReplayCommand.replay(trace));
    }

    @Test
    void reportsOutcomeThatDiffers() throws IOException {
        Path expected = tempDir.resolve("expected.json");
        Files.writeString(expected, "{\"refusals\":{\"no-upstream\":3}}");
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        int status = run(
                output,
                "replay",
                TRACES.resolve("bookings-with-faults.ndjson").toString(),
                "--expect",
                expected.toString());
        assertThat(status).isEqualTo(1);
        assertThat(output.toString(StandardCharsets.UTF_8)).contains("refusals: expected {no-upstream=3}");
    }
}
