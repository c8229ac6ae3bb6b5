package org.lovagethread.supplier.settings;

import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Validated settings. */
public final class Settings {
    private final Path directory;
    private final TreeMap<String, String> values;

    Settings(Path directory, Map<String, String> values) {
        this.directory = directory;
        this.values = new TreeMap<>(values);
    }

    /**
     * Returns the value of a setting as a list of addresses.
     *
     * @param key the key of the setting
     * @return the addresses; empty if the value is blank
     */
    public List<String> addresses(SettingKey key) {
        return Arrays.stream(text(key).split(",", -1))
                .map(String::strip)
                .filter(address -> !address.isEmpty())
                .toList();
    }

    /**
     * Returns the values of all settings. Secrets are represented only by the names of their files.
     *
     * @return the values by full name, in the order of the names
     */
    public Map<String, String> effectiveValues() {
        return Map.copyOf(values);
    }

    /**
     * Returns the value of a setting as a number.
     *
     * @param key the key of the setting
     * @return the number
     */
    public long number(SettingKey key) {
        return Long.parseLong(text(key));
    }

    /**
     * Returns the content of the file named by a setting.
     *
     * @param key the key of the setting
     * @return the content without leading and trailing white space
     * @throws IOException if the file cannot be read
     */
    public String secret(SettingKey key) throws IOException {
        return Files.readString(directory.resolve(text(key)), StandardCharsets.UTF_8)
                .strip();
    }

    /**
     * Returns the value of a setting.
     *
     * @param key the key of the setting
     * @return the value
     */
    public String text(SettingKey key) {
        return values.get(key.fullName());
    }

    /**
     * Returns the value of a setting as a URI.
     *
     * @param key the key of the setting
     * @return the URI
     */
    public URI uri(SettingKey key) {
        return URI.create(text(key));
    }
}
