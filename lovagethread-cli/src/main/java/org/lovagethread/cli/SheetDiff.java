package org.lovagethread.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.lovagethread.supplier.sheet.Sheet;

/** Compares two configuration sheets record by record. */
final class SheetDiff {

    private SheetDiff() {}

    /** Returns one line for each record that was added (+), removed (-) or changed (~). */
    static List<String> diff(Sheet current, Sheet proposed) {
        List<String> lines = new ArrayList<>();
        addDifferences(lines, "service", current.services(), proposed.services(), service -> service.name());
        addDifferences(lines, "customer", current.customers(), proposed.customers(), customer -> customer.name());
        addDifferences(
                lines, "class", current.classes(), proposed.classes(), entry -> entry.service() + "/" + entry.name());
        return lines;
    }

    private static <T> void addDifferences(
            List<String> lines, String recordType, List<T> current, List<T> proposed, Function<T, String> nameOf) {
        Map<String, T> currentByName = new TreeMap<>();
        current.forEach(entry -> currentByName.put(nameOf.apply(entry), entry));
        Map<String, T> proposedByName = new TreeMap<>();
        proposed.forEach(entry -> proposedByName.put(nameOf.apply(entry), entry));
        currentByName.forEach((name, entry) -> {
            if (!proposedByName.containsKey(name)) {
                lines.add("- " + recordType + " " + name);
            } else if (!proposedByName.get(name).equals(entry)) {
                lines.add("~ " + recordType + " " + name + ": " + entry + " -> " + proposedByName.get(name));
            }
        });
        proposedByName.keySet().stream()
                .filter(key -> !currentByName.containsKey(key))
                .forEach(key -> lines.add("+ " + recordType + " " + key));
    }
}
