package org.lovagethread.supplier.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests {@link SettingsReader}. */
class SettingsReaderTest {
    private static final SettingKey HOST = SettingKey.required("node", "host", SettingType.HOST, "Host.");
    private static final SettingKey PORT = SettingKey.port("node", "caller_port", "Port.");
    private static final SettingKey WAIT = SettingKey.number("node", "wait_ms", 50, 1, 100, "Wait.");
    private static final SettingKey SEEDS = SettingKey.optional("peers", "seeds", SettingType.ADDRESSES, "", "Seeds.");
    private static final List<SettingKey> KEYS = List.of(HOST, PORT, WAIT, SEEDS);

    @TempDir
    private Path directory;

    private Either<List<String>, Settings> read(String text) throws IOException {
        Path file = directory.resolve("node.ini");
        Files.writeString(file, text);
        return SettingsReader.read(file, KEYS);
    }

    @Nested
    class WhenValid {
        @Test
        void readsValuesAndDefaults() throws IOException {
            Settings settings = read("[node]\nhost = 127.0.0.1\ncaller_port = 80\n[peers]\nseeds = a:1, b:2\n")
                    .get();
            assertThat(settings.text(HOST)).isEqualTo("127.0.0.1");
            assertThat(settings.number(WAIT)).isEqualTo(50);
            assertThat(settings.addresses(SEEDS)).containsExactly("a:1", "b:2");
        }
    }

    @Nested
    class WhenInvalid {
        @Test
        void reportsFileLineAndClosestKey() throws IOException {
            assertThat(read("[node]\nhost = 127.0.0.1\ncaler_port = 80\n").getLeft())
                    .hasSize(1)
                    .first()
                    .asString()
                    .endsWith("node.ini:3: section node: key caler_port is unknown; closest match: node.caller_port");
        }

        @Test
        void reportsTheRange() throws IOException {
            assertThat(read("[node]\nhost = 127.0.0.1\ncaller_port = 99999\n").getLeft())
                    .first()
                    .asString()
                    .contains("invalid value \"99999\", expected an integer from 1 to 65535");
        }

        @Test
        void rejectsADuplicateKey() throws IOException {
            assertThat(read("[node]\nhost = 127.0.0.1\nhost = 127.0.0.2\ncaller_port = 1\n")
                            .getLeft())
                    .first()
                    .asString()
                    .contains("more than once");
        }

        @Test
        void reportsAMissingKeyAndAMissingFile() throws IOException {
            assertThat(read("[node]\nhost = 127.0.0.1\n").getLeft())
                    .first()
                    .asString()
                    .contains("caller_port is missing");
            assertThat(SettingsReader.read(directory.resolve("none.ini"), KEYS).getLeft())
                    .first()
                    .asString()
                    .contains("cannot be read");
        }
    }

    @Property(tries = 300, seed = "14")
    void neverThrowsOnAnyText(@ForAll String text) throws IOException {
        Path file = Files.createTempFile("settings", ".ini");
        try {
            Files.writeString(file, text.replaceAll("[\\uD800-\\uDFFF]", "?"));
            assertThatCode(() -> SettingsReader.read(file, KEYS)).doesNotThrowAnyException();
        } finally {
            Files.delete(file);
        }
    }
}
