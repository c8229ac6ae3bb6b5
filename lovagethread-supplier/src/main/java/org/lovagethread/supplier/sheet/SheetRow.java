package org.lovagethread.supplier.sheet;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.csv.CSVRecord;

/** Reads the cells of one row and collects the errors in them. */
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
        String cell = text(column).toLowerCase(Locale.ROOT);
        if (!List.of("", "yes", "no").contains(cell)) {
            addError(column, "invalid value \"" + cell + "\", expected yes or no");
        }
        return cell.equals("yes");
    }

    String name(String column) {
        String cell = text(column);
        if (!cell.matches(NAME_PATTERN)) {
            addError(column, "invalid value \"" + cell + "\", expected 1 to 63 lower-case letters, digits and hyphens");
        }
        return cell;
    }

    int integer(String column, int min, int max) {
        String cell = text(column);
        try {
            int value = Integer.parseInt(cell);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below together with the valid range.
        }
        addError(column, "invalid value \"" + cell + "\", expected an integer from " + min + " to " + max);
        return min;
    }

    String requiredText(String column) {
        String cell = text(column);
        if (cell.isEmpty()) {
            addError(column, "a value is required");
        }
        return cell;
    }

    <E extends Enum<E>> Optional<E> enumValue(String column, E[] allowed) {
        String cell = text(column);
        Optional<E> match = Arrays.stream(allowed)
                .filter(value -> value.name().toLowerCase(Locale.ROOT).equals(cell))
                .findFirst();
        if (match.isEmpty()) {
            String names = Arrays.toString(allowed).toLowerCase(Locale.ROOT);
            addError(column, "invalid value \"" + cell + "\", expected one of " + names);
        }
        return match;
    }
}
