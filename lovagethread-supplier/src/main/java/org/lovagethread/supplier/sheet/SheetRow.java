package org.lovagethread.supplier.sheet;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.csv.CSVRecord;

/** Reads the cells of one row and collects the mistakes in them. */
final class SheetRow {
    private static final String NAME_PATTERN = "[a-z0-9][a-z0-9-]{0,62}";

    private final List<SheetError> errors;
    private final long line;
    private final CSVRecord record;

    SheetRow(CSVRecord record, long line, List<SheetError> errors) {
        this.record = record;
        this.line = line;
        this.errors = errors;
    }

    String text(String column) {
        return record.isSet(column) ? record.get(column).strip() : "";
    }

    void addError(String column, String message) {
        errors.add(new SheetError(line, column, message));
    }

    boolean yesOrNo(String column) {
        String found = text(column).toLowerCase(Locale.ROOT);
        if (!List.of("", "yes", "no").contains(found)) {
            addError(column, "found \"" + found + "\", allowed yes or no");
        }
        return found.equals("yes");
    }

    String name(String column) {
        String found = text(column);
        if (!found.matches(NAME_PATTERN)) {
            addError(
                    column,
                    "found \"" + found + "\", allowed lower-case letters, digits and hyphens, 1 to 63 characters");
        }
        return found;
    }

    int integer(String column, int least, int most) {
        String found = text(column);
        try {
            int value = Integer.parseInt(found);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below with the range that is allowed.
        }
        addError(column, "found \"" + found + "\", allowed a whole number from " + least + " to " + most);
        return least;
    }

    String requiredText(String column) {
        String found = text(column);
        if (found.isEmpty()) {
            addError(column, "found nothing, a value is required");
        }
        return found;
    }

    <E extends Enum<E>> Optional<E> enumValue(String column, E[] allowed) {
        String found = text(column);
        Optional<E> match = Arrays.stream(allowed)
                .filter(value -> value.name().toLowerCase(Locale.ROOT).equals(found))
                .findFirst();
        if (match.isEmpty()) {
            String words = Arrays.toString(allowed).toLowerCase(Locale.ROOT);
            addError(column, "found \"" + found + "\", allowed one of " + words);
        }
        return match;
    }
}
