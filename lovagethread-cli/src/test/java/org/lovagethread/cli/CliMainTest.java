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

/** Tests the commands, messages and exit statuses of {@link CliMain} against a simulated Object API. */
class CliMainTest {
    private static final Path SHEET = Path.of("..", "examples", "ice-keepers", "sheet.csv");

    @TempDir
    private Path tempDir;

    private StandInServer server;
    private String settingsFile;
    private String output;
    private String errors;

    @BeforeEach
    void startObjectApi() throws InterruptedException, IOException {
        server = new StandInServer(0, new ObjectApi()::handle);
        Path settingsPath = tempDir.resolve("operator.ini");
        Files.writeString(tempDir.resolve("key"), "secret");
        Files.writeString(
                settingsPath,
                "[platform]\nobject_api = http://127.0.0.1:" + server.port()
                        + "\n[cell]\nname = c\n[operators]\nkey_file = key\n");
        settingsFile = settingsPath.toString();
    }

    @AfterEach
    void stopObjectApi() {
        server.close();
    }

    private int run(String... args) {
        ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
        ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
        int status = CliMain.run(args, new PrintStream(outBytes, true), new PrintStream(errBytes, true));
        output = outBytes.toString(StandardCharsets.UTF_8);
        errors = errBytes.toString(StandardCharsets.UTF_8);
        return status;
    }

    private int apply(String sheet, String... options) {
        String[] args = new String[4 + options.length];
        args[0] = "apply";
        args[1] = sheet;
        args[2] = "--settings";
        args[3] = settingsFile;
        System.arraycopy(options, 0, args, 4, options.length);
        return run(args);
    }

    @Nested
    class Help {
        @Test
        void listsEveryCommand() {
            assertThat(run("--help")).isZero();
            for (Command command : Command.values()) {
                assertThat(output).contains(command.commandName());
            }
        }

        @ParameterizedTest
        @EnumSource(Command.class)
        void showsUsageAndExampleOfEachCommand(Command command) {
            assertThat(run(command.commandName(), "--help")).isZero();
            assertThat(output).contains("usage: lovagethread " + command.commandName(), "example:");
        }
    }

    @Nested
    class InvalidInput {
        @ParameterizedTest
        @ValueSource(strings = {"aply", "check", "apply", "replay", "rollback-to", "explain", "drain"})
        void exitsWithStatusTwoAndOneLine(String command) {
            assertThat(run(command)).isEqualTo(2);
            assertThat(errors).hasLineCount(1).doesNotContain("Exception");
        }

        @Test
        void reportsFileLineAndColumnOfSheetError() throws IOException {
            Path invalidSheet = tempDir.resolve("bad.csv");
            Files.writeString(invalidSheet, Files.readString(SHEET).replace(",600,4,", ",0,4,"));
            assertThat(apply(invalidSheet.toString())).isEqualTo(2);
            assertThat(errors).contains("bad.csv:4: requests_per_second: invalid value \"0\"");
            assertThat(run("history", "--settings", settingsFile, "--output", "json"))
                    .isZero();
            assertThat(output.strip()).isEqualTo("[ ]");
        }
    }

    @Nested
    class ConfigurationChanges {
        @Test
        void rollsBackToEarlierSheetAsNewRevision() throws IOException {
            Path changedSheet = tempDir.resolve("changed.csv");
            Files.writeString(changedSheet, Files.readString(SHEET).replace(",600,4,", ",601,4,"));
            assertThat(apply(SHEET.toString(), "--no-wait")).isZero();
            assertThat(apply(changedSheet.toString(), "--no-wait")).isZero();
            assertThat(run("rollback-to", "1", "--no-wait", "--settings", settingsFile))
                    .isZero();
            assertThat(output).contains("revision 3 applied");
            assertThat(run("diff", changedSheet.toString(), "--settings", settingsFile))
                    .isZero();
            assertThat(output).contains("~ customer addis-central");
        }

        @Test
        void rejectsSheetBasedOnOlderRevision() {
            assertThat(apply(SHEET.toString(), "--no-wait")).isZero();
            assertThat(apply(SHEET.toString(), "--no-wait", "--base", "0")).isEqualTo(3);
            assertThat(errors).contains("the current revision is 1;");
        }

        @Test
        void failsDuringObjectApiOutage() throws Exception {
            URI controlUri = URI.create("http://127.0.0.1:" + server.port() + "/control");
            HttpClient.newHttpClient()
                    .sendAsync(
                            HttpRequest.newBuilder(controlUri)
                                    .POST(HttpRequest.BodyPublishers.ofString("{\"outage\":true}"))
                                    .build(),
                            HttpResponse.BodyHandlers.discarding())
                    .join();
            assertThat(apply(SHEET.toString(), "--no-wait")).isEqualTo(1);
            assertThat(errors).contains("did not respond");
        }
    }
}
