package org.lovagethread.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lovagethread.standins.ObjectApi;
import org.lovagethread.standins.StandInServer;

/** Tests {@link CliMain} as a user would see it. */
class CliMainTest {
    private static final Path SHEET = Path.of("..", "examples", "ice-keepers", "sheet.csv");

    @TempDir
    private Path folder;

    private StandInServer server;
    private String settings;
    private String out;
    private String err;

    @BeforeEach
    void start() throws InterruptedException, IOException {
        server = new StandInServer(0, new ObjectApi()::handle);
        Path file = folder.resolve("operator.ini");
        Files.writeString(folder.resolve("key"), "secret");
        Files.writeString(
                file,
                "[platform]\nobject_api = http://127.0.0.1:" + server.port()
                        + "\n[cell]\nname = c\n[operators]\nkey_file = key\n");
        settings = file.toString();
    }

    @AfterEach
    void stop() {
        server.close();
    }

    private int run(String... args) {
        ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
        ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
        int status = CliMain.run(args, new PrintStream(outBytes, true), new PrintStream(errBytes, true));
        out = outBytes.toString(StandardCharsets.UTF_8);
        err = errBytes.toString(StandardCharsets.UTF_8);
        return status;
    }

    private int apply(String sheet, String... more) {
        String[] args = new String[4 + more.length];
        args[0] = "apply";
        args[1] = sheet;
        args[2] = "--settings";
        args[3] = settings;
        System.arraycopy(more, 0, args, 4, more.length);
        return run(args);
    }

    @Nested
    class Help {
        @Test
        void listsEveryCommand() {
            assertThat(run("--help")).isZero();
            for (Command command : Command.values()) {
                assertThat(out).contains(command.word());
            }
        }

        @ParameterizedTest
        @EnumSource(Command.class)
        void explainsEachCommand(Command command) {
            assertThat(run(command.word(), "--help")).isZero();
            assertThat(out).contains("usage: lovagethread " + command.word(), "example:");
        }
    }

    @Nested
    class Mistakes {
        @ParameterizedTest
        @ValueSource(strings = {"aply", "check", "apply", "replay", "rollback-to", "explain", "drain"})
        void endWithOneLineAndStatusTwo(String word) {
            assertThat(run(word)).isEqualTo(2);
            assertThat(err).hasLineCount(1).doesNotContain("Exception");
        }

        @Test
        void inASheetAreNamedByFileLineAndColumn() throws IOException {
            Path bad = folder.resolve("bad.csv");
            Files.writeString(bad, Files.readString(SHEET).replace(",600,4,", ",0,4,"));
            assertThat(apply(bad.toString())).isEqualTo(2);
            assertThat(err).contains("bad.csv:4: requests_per_second: invalid value \"0\"");
            assertThat(run("history", "--settings", settings, "--output", "json"))
                    .isZero();
            assertThat(out.strip()).isEqualTo("[ ]");
        }
    }

    @Nested
    class Configuration {
        @Test
        void isAppliedListedAndRolledBackAsANewRevision() throws IOException {
            Path changed = folder.resolve("changed.csv");
            Files.writeString(changed, Files.readString(SHEET).replace(",600,4,", ",601,4,"));
            assertThat(apply(SHEET.toString(), "--no-wait")).isZero();
            assertThat(apply(changed.toString(), "--no-wait")).isZero();
            assertThat(run("rollback-to", "1", "--no-wait", "--settings", settings))
                    .isZero();
            assertThat(out).contains("revision 3 applied");
            assertThat(run("diff", changed.toString(), "--settings", settings)).isZero();
            assertThat(out).contains("~ customer addis-central");
        }

        @Test
        void isRefusedWhenItWasMadeFromAnOlderRevision() {
            assertThat(apply(SHEET.toString(), "--no-wait")).isZero();
            assertThat(apply(SHEET.toString(), "--no-wait", "--base", "0")).isEqualTo(3);
            assertThat(err).contains("revision 1 came first");
        }

        @Test
        void isRefusedDuringAnOutage() throws Exception {
            URI control = URI.create("http://127.0.0.1:" + server.port() + "/control");
            HttpClient.newHttpClient()
                    .sendAsync(
                            HttpRequest.newBuilder(control)
                                    .POST(HttpRequest.BodyPublishers.ofString("{\"outage\":true}"))
                                    .build(),
                            HttpResponse.BodyHandlers.discarding())
                    .join();
            assertThat(apply(SHEET.toString(), "--no-wait")).isEqualTo(1);
            assertThat(err).contains("gave no answer");
        }
    }
}
