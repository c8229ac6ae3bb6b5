package org.lovagethread.supplier.sheet;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.StringReader;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.csv.CSVException;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;
import org.lovagethread.core.config.Customer;
import org.lovagethread.core.config.PriorityClass;
import org.lovagethread.core.config.Service;
import org.lovagethread.core.config.ServiceKind;
import org.lovagethread.supplier.Digests;

/**
 * Parser of the configuration sheet, a CSV file as exported by spreadsheet applications.
 *
 * <p>Byte order marks, CRLF line endings, quoted cells, empty rows and lines that start with {@code #} are accepted. A
 * sheet that contains any error is rejected as a whole.
 */
public final class SheetParser {
    /** Columns of a sheet, in the order of the example sheets. */
    public static final List<String> COLUMNS = List.of(
            "record",
            "name",
            "service",
            "kind",
            "model",
            "version",
            "first_token_ms",
            "between_tokens_ms",
            "checks_fencing",
            "requests_per_second",
            "weight",
            "priority");

    /** Maximum size of a sheet in bytes. */
    public static final int MAX_BYTES = 16 * 1024 * 1024;

    private static final int MAX_ERRORS = 20;

    private final List<SheetError> errors = new ArrayList<>();
    private final List<Service> services = new ArrayList<>();
    private final List<Customer> customers = new ArrayList<>();
    private final List<PriorityClass> classes = new ArrayList<>();
    private final Set<String> declaredNames = new HashSet<>();

    private SheetParser() {}

    /**
     * Parses a sheet.
     *
     * @param bytes the bytes of the file
     * @return the declarations, or the errors in the order of their lines; at most twenty are returned
     */
    public static Either<List<SheetError>, Sheet> parse(byte[] bytes) {
        if (bytes.length > MAX_BYTES) {
            return Either.left(List.of(
                    new SheetError(1, "", "the sheet has " + bytes.length + " bytes, the maximum is " + MAX_BYTES)));
        }
        return new SheetParser().readSheet(bytes);
    }

    private Either<List<SheetError>, Sheet> readSheet(byte[] bytes) {
        try {
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
            readRows(text.startsWith("\uFEFF") ? text.substring(1) : text);
        } catch (CharacterCodingException e) {
            errors.add(new SheetError(1, "", "the file is not valid UTF-8 text"));
        } catch (IOException | UncheckedIOException | IllegalArgumentException e) {
            errors.add(new SheetError(1, "", "the file is not valid CSV: " + e.getMessage()));
        }
        if (errors.isEmpty() && services.isEmpty()) {
            errors.add(new SheetError(1, "", "no service is declared, at least one is required"));
        }
        if (!errors.isEmpty()) {
            return Either.left(List.copyOf(errors.subList(0, Math.min(errors.size(), MAX_ERRORS))));
        }
        return Either.right(new Sheet(Digests.sha256Hex(bytes), services, customers, classes));
    }

    private void readRows(String text) throws IOException {
        CSVFormat format = CSVFormat.DEFAULT
                .builder()
                .setHeader()
                .setSkipHeaderRecord(true)
                .setIgnoreEmptyLines(true)
                .setCommentMarker('#')
                .setTrim(true)
                .get();
        try (CSVParser parser = CSVParser.parse(new StringReader(text), format)) {
            if (!checkHeader(parser.getHeaderNames())) {
                return;
            }
            for (CSVRecord record : parser) {
                boolean blank = record.stream().allMatch(String::isBlank);
                if (!blank) {
                    readRow(new SheetRow(record, parser.getCurrentLineNumber(), errors));
                }
            }
        } catch (CSVException e) {
            errors.add(new SheetError(1, "", "the file is not valid CSV: " + e.getMessage()));
        }
        checkReferences();
    }

    private boolean checkHeader(List<String> columns) {
        for (String column : columns) {
            if (!column.isBlank() && !COLUMNS.contains(column)) {
                errors.add(new SheetError(1, column, "unknown column, expected one of " + String.join(", ", COLUMNS)));
            }
        }
        for (String column : List.of("record", "name")) {
            if (!columns.contains(column)) {
                errors.add(new SheetError(1, column, "the required column is missing"));
            }
        }
        return errors.isEmpty();
    }

    private void checkReferences() {
        for (PriorityClass entry : classes) {
            boolean declared =
                    services.stream().anyMatch(service -> service.name().equals(entry.service()));
            if (!declared) {
                errors.add(new SheetError(
                        1,
                        "service",
                        "class \"" + entry.name() + "\" refers to the unknown service \"" + entry.service() + "\""));
            }
        }
    }

    private void readRow(SheetRow row) {
        String recordType = row.text("record");
        int errorsBefore = errors.size();
        String name = row.name("name");
        switch (recordType) {
            case "service" -> readService(row, name, errorsBefore);
            case "customer" -> readCustomer(row, name, errorsBefore);
            case "class" -> readClass(row, name, errorsBefore);
            default -> row.addError(
                    "record", "invalid value \"" + recordType + "\", expected service, customer or class");
        }
        String identity = recordType + ' ' + name + (recordType.equals("class") ? ' ' + row.text("service") : "");
        if (!declaredNames.add(identity)) {
            row.addError("name", "duplicate name \"" + name + "\" for the record " + recordType);
        }
    }

    private void readClass(SheetRow row, String name, int errorsBefore) {
        String service = row.requiredText("service");
        int priority = row.integer("priority", 0, 9);
        if (errors.size() == errorsBefore) {
            classes.add(new PriorityClass(name, service, priority));
        }
    }

    private void readCustomer(SheetRow row, String name, int errorsBefore) {
        int rate = row.integer("requests_per_second", 1, 1_000_000);
        int weight = row.integer("weight", 1, 1_000);
        if (errors.size() == errorsBefore) {
            customers.add(new Customer(name, rate, weight));
        }
    }

    private void readService(SheetRow row, String name, int errorsBefore) {
        ServiceKind kind = row.enumValue("kind", ServiceKind.values()).orElse(ServiceKind.PLAIN);
        boolean model = kind == ServiceKind.MODEL;
        String modelName = model ? row.requiredText("model") : "";
        String version = model ? row.requiredText("version") : "";
        int firstToken = row.integer("first_token_ms", 1, 3_600_000);
        int betweenTokens = model ? row.integer("between_tokens_ms", 1, 60_000) : 0;
        boolean checksFencing = row.yesOrNo("checks_fencing");
        if (errors.size() == errorsBefore) {
            services.add(new Service(name, kind, modelName, version, firstToken, betweenTokens, checksFencing));
        }
    }
}
