package org.lovagethread.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lovagethread.core.Core;
import org.lovagethread.core.command.Command.NoteDecision;
import org.lovagethread.core.command.Command.RefuseCall;
import org.lovagethread.core.trace.TraceEntry;
import org.lovagethread.supplier.Digests;
import org.lovagethread.supplier.Json;
import org.lovagethread.supplier.trace.TraceFormat;

/** Implementation of the command that replays a trace. */
final class ReplayCommand {

    private ReplayCommand() {}

    /**
     * The outcomes of a replay.
     *
     * @param events the number of replayed events
     * @param commands the number of commands that the core issued
     * @param commandDigest the SHA-256 digest of all commands in order
     * @param decisions the number of decisions of each kind
     * @param refusals the number of refused calls by error
     */
    record Outcomes(
            int events,
            int commands,
            String commandDigest,
            Map<String, Integer> decisions,
            Map<String, Integer> refusals) {}

    static Outcomes replay(TraceFormat.Trace trace) {
        Core core = new Core(trace.header().toSettings());
        Map<String, Integer> decisions = new TreeMap<>();
        Map<String, Integer> refusals = new TreeMap<>();
        StringBuilder commandLog = new StringBuilder();
        int commands = 0;
        for (TraceEntry entry : trace.entries()) {
            for (org.lovagethread.core.command.Command command : core.handle(entry.atMillis(), entry.event())) {
                commands++;
                commandLog.append(command).append('\n');
                if (command instanceof NoteDecision note) {
                    decisions.merge(note.decision().label(), 1, Integer::sum);
                } else if (command instanceof RefuseCall refusal) {
                    refusals.merge(refusal.kind().label(), 1, Integer::sum);
                }
            }
        }
        String digest = Digests.sha256Hex(commandLog.toString().getBytes(StandardCharsets.UTF_8));
        return new Outcomes(trace.entries().size(), commands, digest, decisions, refusals);
    }

    static void run(CommandContext context) throws CliException {
        String file = context.requiredArgument(0, "TRACE");
        String text = new String(context.readFile(file), StandardCharsets.UTF_8);
        Either<String, TraceFormat.Trace> trace = TraceFormat.read(text);
        if (trace.isLeft()) {
            throw new CliException(ExitCode.USAGE, file + ": " + trace.getLeft());
        }
        Outcomes outcomes = replay(trace.get());
        context.printJson(outcomes);
        if (context.hasOption("expect")) {
            compareWithExpected(context, outcomes);
        }
    }

    private static void compareWithExpected(CommandContext context, Outcomes outcomes) throws CliException {
        String file = context.option("expect", "");
        Map<?, ?> expected;
        Map<?, ?> actual;
        try {
            expected = Json.mapper().readValue(context.readFile(file), Map.class);
            actual = Json.mapper().convertValue(outcomes, Map.class);
        } catch (JsonProcessingException e) {
            throw new CliException(ExitCode.USAGE, file + ": the file is not valid JSON");
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, file + ": cannot read the file");
        }
        List<String> differences = new ArrayList<>();
        expected.forEach((key, value) -> {
            if (!value.equals(actual.get(key))) {
                differences.add(key + ": expected " + value + ", actual " + actual.get(key));
            }
        });
        if (!differences.isEmpty()) {
            throw new CliException(ExitCode.FAILED, String.join("\n", differences));
        }
        context.print("the outcomes match");
    }
}
