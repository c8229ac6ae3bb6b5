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

/** Provides the arguments, settings, clients and output stream of one command invocation. */
final class CommandContext {
    private final CommandLine commandLine;
    private final PrintStream out;

    CommandContext(CommandLine commandLine, PrintStream out) {
        this.commandLine = commandLine;
        this.out = out;
    }

    String requiredArgument(int index, String name) throws CliException {
        List<String> arguments = commandLine.getArgList();
        if (arguments.size() <= index) {
            throw new CliException(ExitCode.USAGE, name + " is missing");
        }
        return arguments.get(index);
    }

    /** Returns the argument at an index, or an empty string if it is absent. */
    String optionalArgument(int index) {
        List<String> arguments = commandLine.getArgList();
        return arguments.size() <= index ? "" : arguments.get(index);
    }

    ConfigurationStore configurationStore() throws CliException {
        return new ConfigurationStore(objectApiClient(), Clock.systemUTC());
    }

    boolean isJsonOutput() {
        return "json".equals(commandLine.getOptionValue("output", "table"));
    }

    NodeClient nodeClient() throws CliException {
        Settings settings = settings();
        try {
            return new NodeClient(
                    objectApiClient(),
                    settings.text(OperatorSettingKeys.CELL),
                    settings.secret(OperatorSettingKeys.KEY_FILE));
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, "cannot read the key file: " + e.getMessage());
        }
    }

    String option(String name, String defaultValue) {
        return commandLine.getOptionValue(name, defaultValue);
    }

    long longOption(String name, long defaultValue) throws CliException {
        String value = commandLine.getOptionValue(name, Long.toString(defaultValue));
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new CliException(
                    ExitCode.USAGE, "--" + name + ": invalid value \"" + value + "\", expected an integer");
        }
    }

    boolean hasOption(String option) {
        return commandLine.hasOption(option);
    }

    ObjectApiClient objectApiClient() throws CliException {
        return new ObjectApiClient(settings().uri(OperatorSettingKeys.OBJECT_API));
    }

    void print(String text) {
        out.println(text);
    }

    void printJson(Object value) {
        try {
            out.println(Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(value));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize the result as JSON", e);
        }
    }

    byte[] readFile(String file) throws CliException {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, file + ": cannot read the file");
        }
    }

    /**
     * Parses a configuration sheet.
     *
     * @param file the name of the sheet in error messages
     * @param bytes the content of the sheet
     * @return the parsed sheet
     * @throws CliException if the sheet is invalid; the message has one line per error
     */
    Sheet readSheet(String file, byte[] bytes) throws CliException {
        Either<List<SheetError>, Sheet> parsed = SheetParser.parse(bytes);
        if (parsed.isLeft()) {
            String errorLines = String.join(
                    "\n",
                    parsed.getLeft().stream().map(error -> error.describe(file)).toList());
            throw new CliException(ExitCode.USAGE, errorLines);
        }
        return parsed.get();
    }

    private Settings settings() throws CliException {
        String file = commandLine.getOptionValue("settings", System.getenv().getOrDefault("LOVAGETHREAD_SETTINGS", ""));
        if (file.isEmpty()) {
            throw new CliException(
                    ExitCode.USAGE, "--settings FILE or the environment variable LOVAGETHREAD_SETTINGS is required");
        }
        Either<List<String>, Settings> settings = SettingsReader.read(Path.of(file), OperatorSettingKeys.all());
        if (settings.isLeft()) {
            throw new CliException(ExitCode.USAGE, String.join("\n", settings.getLeft()));
        }
        return settings.get();
    }
}
