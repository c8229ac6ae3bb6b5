package org.lovagethread.supplier.settings;

import java.util.Objects;
import java.util.Optional;

/**
 * Describes one setting.
 *
 * @param section the section of the INI file
 * @param name the name within the section, with the unit at its end
 * @param type the type
 * @param defaultValue the value when the key is absent; empty if the key is required
 * @param min the smallest number allowed
 * @param max the largest number allowed
 * @param description one sentence for {@code docs/SETTINGS.md}
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
        Objects.requireNonNull(defaultValue, "fallback");
        Objects.requireNonNull(description, "description");
    }

    /**
     * Describes a number with a fallback.
     *
     * @param section the section
     * @param name the name
     * @param fallback the value when the key is absent
     * @param least the smallest number allowed
     * @param most the largest number allowed
     * @param description one sentence
     * @return the key
     */
    public static SettingKey number(
            String section, String name, long fallback, long least, long most, String description) {
        Optional<String> text = Optional.of(Long.toString(fallback));
        return new SettingKey(section, name, SettingType.NUMBER, text, least, most, description);
    }

    /**
     * Describes a key with a fallback that is not a number.
     *
     * @param section the section
     * @param name the name
     * @param type the type
     * @param fallback the value when the key is absent
     * @param description one sentence
     * @return the key
     */
    public static SettingKey optional(
            String section, String name, SettingType type, String fallback, String description) {
        return new SettingKey(section, name, type, Optional.of(fallback), 0, 0, description);
    }

    /**
     * Describes a required port.
     *
     * @param section the section
     * @param name the name
     * @param description one sentence
     * @return the key
     */
    public static SettingKey port(String section, String name, String description) {
        return new SettingKey(section, name, SettingType.NUMBER, Optional.empty(), 1, 65_535, description);
    }

    /**
     * Describes a required key that is not a number.
     *
     * @param section the section
     * @param name the name
     * @param type the type
     * @param description one sentence
     * @return the key
     */
    public static SettingKey required(String section, String name, SettingType type, String description) {
        return new SettingKey(section, name, type, Optional.empty(), 0, 0, description);
    }

    /**
     * Returns the section and the name.
     *
     * @return for example {@code node.caller_port}
     */
    public String fullName() {
        return section + "." + name;
    }
}
