package org.lovagethread.supplier.settings;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.ex.ConfigurationRuntimeException;

/** Reads an INI file and validates its keys and values. */
public final class SettingsReader {
    private final List<String> errors = new ArrayList<>();
    private final Path file;
    private final List<SettingKey> keys;
    private final Map<String, String> values = new TreeMap<>();
    private String text = "";

    private SettingsReader(Path file, List<SettingKey> keys) {
        this.file = file;
        this.keys = keys;
    }

    /**
     * Reads a settings file.
     *
     * @param file the file
     * @param keys the allowed keys
     * @return the settings, or one message per error with the file, line and key
     */
    public static Either<List<String>, Settings> read(Path file, List<SettingKey> keys) {
        return new SettingsReader(file, keys).read();
    }

    private Either<List<String>, Settings> read() {
        try {
            text = Files.readString(file, StandardCharsets.UTF_8);
            INIConfiguration ini = new INIConfiguration();
            ini.read(new StringReader(text));
            readSections(ini);
        } catch (IOException e) {
            errors.add(file + ": the file cannot be read");
        } catch (ConfigurationException | ConfigurationRuntimeException e) {
            errors.add(file + ": the file is not a valid INI file: " + e.getMessage());
        }
        if (errors.isEmpty()) {
            addDefaults();
        }
        Path directory = Optional.ofNullable(file.toAbsolutePath().getParent()).orElse(Path.of("."));
        return errors.isEmpty() ? Either.right(new Settings(directory, values)) : Either.left(List.copyOf(errors));
    }

    private void addDefaults() {
        for (SettingKey key : keys) {
            if (values.containsKey(key.fullName())) {
                continue;
            }
            if (key.defaultValue().isPresent()) {
                values.put(key.fullName(), key.defaultValue().get());
            } else {
                errors.add(file + ": section " + key.section() + ": key " + key.name() + " is missing");
            }
        }
    }

    private void readSections(INIConfiguration ini) {
        for (String section : ini.getSections()) {
            if (section == null) {
                errors.add(file + ":1: key before the first section");
                continue;
            }
            SubnodeConfiguration content = ini.getSection(section);
            content.getKeys().forEachRemaining(name -> readKey(section, name.replace("..", "."), content, name));
        }
    }

    private void readKey(String section, String name, SubnodeConfiguration content, String storedName) {
        String location = file + ":" + line(section, name) + ": section " + section + ": key " + name;
        Optional<SettingKey> definition = keys.stream()
                .filter(key -> key.section().equals(section) && key.name().equals(name))
                .findFirst();
        if (definition.isEmpty()) {
            errors.add(location + " is unknown; closest match: " + closestKey(section, name));
            return;
        }
        if (content.getList(storedName).size() > 1) {
            errors.add(location + " is defined more than once");
            return;
        }
        String value = content.getString(storedName).strip();
        Path directory = Optional.ofNullable(file.toAbsolutePath().getParent()).orElse(Path.of("."));
        Optional<String> violation = definition.get().type().validate(value, definition.get(), directory);
        violation.ifPresent(expected -> errors.add(location + ": invalid value \"" + value + "\", " + expected));
        values.put(definition.get().fullName(), value);
    }

    private int line(String section, String name) {
        String[] lines = text.split("\n", -1);
        String current = "";
        for (int i = 0; i < lines.length; i++) {
            String line = lines[i].strip();
            if (line.startsWith("[") && line.endsWith("]")) {
                current = line.substring(1, line.length() - 1);
            } else if (current.equals(section)
                    && line.split("[=:]", 2)[0].strip().equals(name)) {
                return i + 1;
            }
        }
        return 1;
    }

    private String closestKey(String section, String name) {
        String fullName = section + "." + name;
        return keys.stream()
                .map(SettingKey::fullName)
                .min(Comparator.comparingInt(candidate -> levenshteinDistance(candidate, fullName)))
                .orElse("none");
    }

    /** Returns the Levenshtein distance between two strings. */
    private static int levenshteinDistance(String left, String right) {
        int[] previous = new int[right.length() + 1];
        for (int j = 0; j <= right.length(); j++) {
            previous[j] = j;
        }
        for (int i = 1; i <= left.length(); i++) {
            int[] current = new int[right.length() + 1];
            current[0] = i;
            for (int j = 1; j <= right.length(); j++) {
                int substitutionCost = previous[j - 1] + (left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1);
                current[j] = Math.min(substitutionCost, Math.min(previous[j], current[j - 1]) + 1);
            }
            previous = current;
        }
        return previous[right.length()];
    }
}
