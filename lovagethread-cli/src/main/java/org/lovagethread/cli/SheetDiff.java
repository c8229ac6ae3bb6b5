package org.lovagethread.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.lovagethread.supplier.sheet.Sheet;

/** Compares two sheets record by record. */
final class SheetDiff {

    private SheetDiff() {}

    /** Returns a line for each record that was added, removed or changed. */
    static List<String> between(Sheet present, Sheet wanted) {
        List<String> lines = new ArrayList<>();
        compare(lines, "service", present.services(), wanted.services(), service -> service.name());
        compare(lines, "customer", present.customers(), wanted.customers(), customer -> customer.name());
        compare(lines, "class", present.classes(), wanted.classes(), entry -> entry.service() + "/" + entry.name());
        return lines;
    }

    private static <T> void compare(
            List<String> lines, String record, List<T> present, List<T> wanted, Function<T, String> name) {
        Map<String, T> before = new TreeMap<>();
        present.forEach(entry -> before.put(name.apply(entry), entry));
        Map<String, T> after = new TreeMap<>();
        wanted.forEach(entry -> after.put(name.apply(entry), entry));
        before.forEach((key, entry) -> {
            if (!after.containsKey(key)) {
                lines.add("- " + record + " " + key);
            } else if (!after.get(key).equals(entry)) {
                lines.add("~ " + record + " " + key + ": " + entry + " -> " + after.get(key));
            }
        });
        after.keySet().stream()
                .filter(key -> !before.containsKey(key))
                .forEach(key -> lines.add("+ " + record + " " + key));
    }
}
