package org.lovagethread.supplier.settings;

import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** Lists the types of settings, each with its own check. */
public enum SettingType {
    /** A text of letters, digits, dots, hyphens and underscores. */
    NAME {
        @Override
        Optional<String> validate(String value, SettingKey key, Path folder) {
            return value.matches("[A-Za-z0-9._-]{1,63}")
                    ? Optional.empty()
                    : Optional.of("allowed letters, digits, dots, hyphens and underscores, 1 to 63 characters");
        }
    },
    /** A whole number in the range of the key. */
    NUMBER {
        @Override
        Optional<String> validate(String value, SettingKey key, Path folder) {
            String allowed = "allowed a whole number from " + key.min() + " to " + key.max();
            try {
                long number = Long.parseLong(value);
                return number >= key.min() && number <= key.max() ? Optional.empty() : Optional.of(allowed);
            } catch (NumberFormatException e) {
                return Optional.of(allowed);
            }
        }
    },
    /** An HTTP address. */
    HTTP_URI {
        @Override
        Optional<String> validate(String value, SettingKey key, Path folder) {
            try {
                URI uri = URI.create(value);
                boolean fits = "http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0;
                return fits ? Optional.empty() : Optional.of("allowed http://HOST:PORT");
            } catch (IllegalArgumentException e) {
                return Optional.of("allowed http://HOST:PORT");
            }
        }
    },
    /** A host, by IP number. */
    HOST {
        @Override
        Optional<String> validate(String value, SettingKey key, Path folder) {
            return value.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[?[0-9a-fA-F:]+]?")
                    ? Optional.empty()
                    : Optional.of("allowed an IP number");
        }
    },
    /** Any number of HOST:PORT addresses, separated by commas. */
    ADDRESSES {
        @Override
        Optional<String> validate(String value, SettingKey key, Path folder) {
            for (String address : value.split(",", -1)) {
                boolean blankList = value.isBlank();
                if (!blankList && !address.strip().matches("[^\\s:]+:[0-9]{1,5}")) {
                    return Optional.of("allowed HOST:PORT, separated by commas");
                }
            }
            return Optional.empty();
        }
    },
    /** A file that exists and can be read; a relative name starts at the folder of the settings file. */
    FILE {
        @Override
        Optional<String> validate(String value, SettingKey key, Path folder) {
            return Files.isReadable(folder.resolve(value)) ? Optional.empty() : Optional.of("the file cannot be read");
        }
    };

    /**
     * Checks a value.
     *
     * @param value the value found
     * @param key the key
     * @param folder the folder of the settings file
     * @return what is allowed, or empty if the value fits
     */
    abstract Optional<String> validate(String value, SettingKey key, Path folder);
}
