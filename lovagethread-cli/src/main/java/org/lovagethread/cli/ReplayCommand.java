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

/** Implements the command that replays a trace. */
final class ReplayCommand {

    private ReplayCommand() {}

    /**
     * What a replay gave.
     *
     * @param events the number of events
     * @param commands the number of commands
     * @param commandDigest a digest of all commands in order
     * @param decisions the number of decisions by kind
     * @param refusals the number of refusals by kind of error
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
        StringBuilder all = new StringBuilder();
        int commands = 0;
        for (TraceEntry entry : trace.entries()) {
            for (org.lovagethread.core.command.Command command : core.handle(entry.atMillis(), entry.event())) {
                commands++;
                all.append(command).append('\n');
                if (command instanceof NoteDecision note) {
                    decisions.merge(note.decision().label(), 1, Integer::sum);
                } else if (command instanceof RefuseCall refusal) {
                    refusals.merge(refusal.kind().label(), 1, Integer::sum);
                }
            }
        }
        String digest = Digests.sha256Hex(all.toString().getBytes(StandardCharsets.UTF_8));
        return new Outcomes(trace.entries().size(), commands, digest, decisions, refusals);
    }

    static void run(Invocation invocation) throws CliException {
        String file = invocation.argument(0, "TRACE");
        String text = new String(invocation.readFile(file), StandardCharsets.UTF_8);
        Either<String, TraceFormat.Trace> trace = TraceFormat.read(text);
        if (trace.isLeft()) {
            throw new CliException(ExitCode.USAGE, file + ": " + trace.getLeft());
        }
        Outcomes outcomes = replay(trace.get());
        invocation.printJson(outcomes);
        if (invocation.has("expect")) {
            compare(invocation, outcomes);
        }
    }

    private static void compare(Invocation invocation, Outcomes outcomes) throws CliException {
        String file = invocation.option("expect", "");
        Map<?, ?> expected;
        Map<?, ?> found;
        try {
            expected = Json.mapper().readValue(invocation.readFile(file), Map.class);
            found = Json.mapper().convertValue(outcomes, Map.class);
        } catch (JsonProcessingException e) {
            throw new CliException(ExitCode.USAGE, file + ": the file is not JSON");
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, file + ": the file cannot be read");
        }
        List<String> differences = new ArrayList<>();
        expected.forEach((key, value) -> {
            if (!value.equals(found.get(key))) {
                differences.add(key + ": expected " + value + ", found " + found.get(key));
            }
        });
        if (!differences.isEmpty()) {
            throw new CliException(ExitCode.FAILED, String.join("\n", differences));
        }
        invocation.print("outcomes as expected");
    }
}
