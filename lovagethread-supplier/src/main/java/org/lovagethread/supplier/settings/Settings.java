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

/** Holds checked settings. */
public final class Settings {
    private final Path folder;
    private final TreeMap<String, String> values;

    Settings(Path folder, Map<String, String> values) {
        this.folder = folder;
        this.values = new TreeMap<>(values);
    }

    /**
     * Returns a list of addresses.
     *
     * @param key the key
     * @return the addresses; empty if the value is blank
     */
    public List<String> addresses(SettingKey key) {
        return Arrays.stream(text(key).split(",", -1))
                .map(String::strip)
                .filter(address -> !address.isEmpty())
                .toList();
    }

    /**
     * Returns every key with its value; secrets appear as file names only.
     *
     * @return the values by full name, in the order of the names
     */
    public Map<String, String> effective() {
        return Map.copyOf(values);
    }

    /**
     * Returns a number.
     *
     * @param key the key
     * @return the number
     */
    public long number(SettingKey key) {
        return Long.parseLong(text(key));
    }

    /**
     * Reads the file that a key names.
     *
     * @param key the key
     * @return the content of the file without surrounding white space
     * @throws IOException if the file cannot be read
     */
    public String secret(SettingKey key) throws IOException {
        return Files.readString(folder.resolve(text(key)), StandardCharsets.UTF_8)
                .strip();
    }

    /**
     * Returns a text.
     *
     * @param key the key
     * @return the text
     */
    public String text(SettingKey key) {
        return values.get(key.fullName());
    }

    /**
     * Returns an HTTP address.
     *
     * @param key the key
     * @return the address
     */
    public URI uri(SettingKey key) {
        return URI.create(text(key));
    }
}
