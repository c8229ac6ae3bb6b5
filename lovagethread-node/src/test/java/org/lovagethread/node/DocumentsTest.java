package org.lovagethread.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.supplier.settings.SettingKey;

/** Checks that the tables in the documentation match the code. */
class DocumentsTest {
    private static final Path DOCS = Path.of("..", "docs");

    private static String errorRow(ErrorKind kind) {
        return "| `" + kind.label() + "` | " + kind.status() + " | "
                + kind.runState().label() + " | " + (kind.isRetryable() ? "yes" : "no") + " | " + kind.message() + " |";
    }

    private static String settingRow(SettingKey key) {
        String defaultValue = key.defaultValue().map(value -> "`" + value + "`").orElse("required");
        String range = key.max() > 0
                ? key.min() + " to " + key.max()
                : key.type().name().toLowerCase(Locale.ROOT);
        return "| `" + key.section() + "` | `" + key.name() + "` | " + defaultValue + " | " + range + " | "
                + key.description() + " |";
    }

    @Test
    void apiPageContainsAllErrorKinds() throws IOException {
        String expected =
                Arrays.stream(ErrorKind.values()).map(DocumentsTest::errorRow).collect(Collectors.joining("\n"));
        assertThat(Files.readString(DOCS.resolve("API.md"))).contains(expected);
    }

    @Test
    void settingsPageContainsAllKeys() throws IOException {
        String expected =
                NodeSettingKeys.all().stream().map(DocumentsTest::settingRow).collect(Collectors.joining("\n"));
        assertThat(Files.readString(DOCS.resolve("SETTINGS.md"))).contains(expected);
    }
}
