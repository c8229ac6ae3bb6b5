package org.lovagethread.supplier.settings;

import java.util.Objects;
import java.util.Optional;

/**
 * Definition of one setting.
 *
 * @param section the section of the INI file
 * @param name the name within the section, with the unit as its suffix
 * @param type the type of the value
 * @param defaultValue the value used if the key is absent; empty if the key is required
 * @param min the smallest allowed number
 * @param max the largest allowed number
 * @param description a description in one sentence for {@code docs/SETTINGS.md}
 */
public record SettingKey(
        String section,
        String name,
        SettingType type,
        Optional<String> defaultValue,
        long min,
        long max,
        String description) {

    /** Validates the fields. */
    public SettingKey {
        Objects.requireNonNull(section, "section");
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(type, "type");
        Objects.requireNonNull(defaultValue, "default value");
        Objects.requireNonNull(description, "description");
    }

    /**
     * Creates a numeric key with a default value.
     *
     * @param section the section
     * @param name the name
     * @param defaultValue the value used if the key is absent
     * @param min the smallest allowed number
     * @param max the largest allowed number
     * @param description a description in one sentence
     * @return the key
     */
    public static SettingKey number(
            String section, String name, long defaultValue, long min, long max, String description) {
        Optional<String> defaultText = Optional.of(Long.toString(defaultValue));
        return new SettingKey(section, name, SettingType.NUMBER, defaultText, min, max, description);
    }

    /**
     * Creates a non-numeric key with a default value.
     *
     * @param section the section
     * @param name the name
     * @param type the type of the value
     * @param defaultValue the value used if the key is absent
     * @param description a description in one sentence
     * @return the key
     */
    public static SettingKey optional(
            String section, String name, SettingType type, String defaultValue, String description) {
        return new SettingKey(section, name, type, Optional.of(defaultValue), 0, 0, description);
    }

    /**
     * Creates a required key for a port number.
     *
     * @param section the section
     * @param name the name
     * @param description a description in one sentence
     * @return the key
     */
    public static SettingKey port(String section, String name, String description) {
        return new SettingKey(section, name, SettingType.NUMBER, Optional.empty(), 1, 65_535, description);
    }

    /**
     * Creates a required non-numeric key.
     *
     * @param section the section
     * @param name the name
     * @param type the type of the value
     * @param description a description in one sentence
     * @return the key
     */
    public static SettingKey required(String section, String name, SettingType type, String description) {
        return new SettingKey(section, name, type, Optional.empty(), 0, 0, description);
    }

    /**
     * Returns the section and the name, separated by a dot.
     *
     * @return the full name, for example {@code node.caller_port}
     */
    public String fullName() {
        return section + "." + name;
    }
}
