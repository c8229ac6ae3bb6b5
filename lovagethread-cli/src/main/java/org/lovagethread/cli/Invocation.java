package org.lovagethread.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.lovagethread.supplier.Json;
import org.lovagethread.supplier.objects.ConfigurationStore;
import org.lovagethread.supplier.objects.ObjectApiClient;
import org.lovagethread.supplier.settings.Settings;
import org.lovagethread.supplier.settings.SettingsReader;
import org.lovagethread.supplier.sheet.Sheet;
import org.lovagethread.supplier.sheet.SheetError;
import org.lovagethread.supplier.sheet.SheetParser;

/** Gives a command its arguments, its settings and its output. */
final class Invocation {
    private final CommandLine line;
    private final PrintStream out;

    Invocation(CommandLine line, PrintStream out) {
        this.line = line;
        this.out = out;
    }

    String argument(int index, String name) throws CliException {
        List<String> arguments = line.getArgList();
        if (arguments.size() <= index) {
            throw new CliException(ExitCode.USAGE, name + " is missing");
        }
        return arguments.get(index);
    }

    /** Returns an argument that may be absent. */
    String optionalArgument(int index) {
        List<String> arguments = line.getArgList();
        return arguments.size() <= index ? "" : arguments.get(index);
    }

    ConfigurationStore configurations() throws CliException {
        return new ConfigurationStore(objects(), Clock.systemUTC());
    }

    boolean json() {
        return "json".equals(line.getOptionValue("output", "table"));
    }

    NodeClient nodes() throws CliException {
        Settings settings = settings();
        try {
            return new NodeClient(objects(), settings.text(OperatorKeys.CELL), settings.secret(OperatorKeys.KEY_FILE));
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, "the key file cannot be read: " + e.getMessage());
        }
    }

    String option(String name, String fallback) {
        return line.getOptionValue(name, fallback);
    }

    long numberOption(String name, long fallback) throws CliException {
        String value = line.getOptionValue(name, Long.toString(fallback));
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new CliException(ExitCode.USAGE, "--" + name + ": found \"" + value + "\", allowed a whole number");
        }
    }

    boolean has(String option) {
        return line.hasOption(option);
    }

    ObjectApiClient objects() throws CliException {
        return new ObjectApiClient(settings().uri(OperatorKeys.OBJECT_API));
    }

    void print(String text) {
        out.println(text);
    }

    void printJson(Object value) {
        try {
            out.println(Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a result cannot be written as JSON", e);
        }
    }

    byte[] readFile(String file) throws CliException {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, file + ": the file cannot be read");
        }
    }

    /** Reads a sheet and fails with all its mistakes, a line each. */
    Sheet readSheet(String file, byte[] bytes) throws CliException {
        Either<List<SheetError>, Sheet> parsed = SheetParser.parse(bytes);
        if (parsed.isLeft()) {
            String mistakes = String.join(
                    "\n",
                    parsed.getLeft().stream().map(error -> error.describe(file)).toList());
            throw new CliException(ExitCode.USAGE, mistakes);
        }
        return parsed.get();
    }

    private Settings settings() throws CliException {
        String file = line.getOptionValue("settings", System.getenv().getOrDefault("LOVAGETHREAD_SETTINGS", ""));
        if (file.isEmpty()) {
            throw new CliException(ExitCode.USAGE, "--settings FILE or the variable LOVAGETHREAD_SETTINGS is required");
        }
        Either<List<String>, Settings> settings = SettingsReader.read(Path.of(file), OperatorKeys.all());
        if (settings.isLeft()) {
            throw new CliException(ExitCode.USAGE, String.join("\n", settings.getLeft()));
        }
        return settings.get();
    }
}
