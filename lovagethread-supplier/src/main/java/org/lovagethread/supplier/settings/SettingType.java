package org.lovagethread.supplier.settings;

import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** Type of a setting, which validates its values. */
public enum SettingType {
    /** Name of letters, digits, dots, hyphens and underscores. */
    NAME {
        @Override
        Optional<String> validate(String value, SettingKey key, Path directory) {
            return value.matches("[A-Za-z0-9._-]{1,63}")
                    ? Optional.empty()
                    : Optional.of("expected 1 to 63 letters, digits, dots, hyphens and underscores");
        }
    },
    /** Integer within the range of the key. */
    NUMBER {
        @Override
        Optional<String> validate(String value, SettingKey key, Path directory) {
            String expected = "expected an integer from " + key.min() + " to " + key.max();
            try {
                long number = Long.parseLong(value);
                return number >= key.min() && number <= key.max() ? Optional.empty() : Optional.of(expected);
            } catch (NumberFormatException e) {
                return Optional.of(expected);
            }
        }
    },
    /** HTTP URI with a host and a port. */
    HTTP_URI {
        @Override
        Optional<String> validate(String value, SettingKey key, Path directory) {
            try {
                URI uri = URI.create(value);
                boolean valid = "http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0;
                return valid ? Optional.empty() : Optional.of("expected http://HOST:PORT");
            } catch (IllegalArgumentException e) {
                return Optional.of("expected http://HOST:PORT");
            }
        }
    },
    /** IP address of a host. */
    HOST {
        @Override
        Optional<String> validate(String value, SettingKey key, Path directory) {
            return value.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[?[0-9a-fA-F:]+]?")
                    ? Optional.empty()
                    : Optional.of("expected an IP address");
        }
    },
    /** Possibly empty list of HOST:PORT addresses, separated by commas. */
    ADDRESSES {
        @Override
        Optional<String> validate(String value, SettingKey key, Path directory) {
            for (String address : value.split(",", -1)) {
                boolean blankList = value.isBlank();
                if (!blankList && !address.strip().matches("[^\\s:]+:[0-9]{1,5}")) {
                    return Optional.of("expected HOST:PORT addresses, separated by commas");
                }
            }
            return Optional.empty();
        }
    },
    /** Readable file; a relative path is resolved against the directory of the settings file. */
    FILE {
        @Override
        Optional<String> validate(String value, SettingKey key, Path directory) {
            return Files.isReadable(directory.resolve(value))
                    ? Optional.empty()
                    : Optional.of("the file cannot be read");
        }
    };

    /**
     * Validates a value.
     *
     * @param value the value
     * @param key the definition of the setting
     * @param directory the directory of the settings file
     * @return a description of the valid values, or empty if the value is valid
     */
    abstract Optional<String> validate(String value, SettingKey key, Path directory);
}
