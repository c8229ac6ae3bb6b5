package org.lovagethread.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import org.lovagethread.supplier.Digests;
import org.lovagethread.supplier.objects.ConfigurationStore;
import org.lovagethread.supplier.objects.ConfigurationStore.ApplyResult;
import org.lovagethread.supplier.objects.ConfigurationStore.StoredRoot;
import org.lovagethread.supplier.objects.NodeEntry;
import org.lovagethread.supplier.objects.RevisionEntry;
import org.lovagethread.supplier.sheet.Sheet;

/** Implementation of the commands that read and change the configuration. */
final class ConfigurationCommands {
    private static final long ANY_REVISION = -1;
    private static final long POLL_INTERVAL_MILLIS = 200;
    private static final long DEFAULT_WAIT_SECONDS = 30;

    private ConfigurationCommands() {}

    static void apply(CommandContext context) throws CliException {
        String file = context.requiredArgument(0, "SHEET");
        byte[] bytes = context.readFile(file);
        context.readSheet(file, bytes);
        applySheet(context, bytes);
    }

    static void check(CommandContext context) throws CliException {
        String file = context.requiredArgument(0, "SHEET");
        Sheet sheet = context.readSheet(file, context.readFile(file));
        context.print(file + ": valid: " + sheet.services().size() + " services, "
                + sheet.customers().size() + " customers, " + sheet.classes().size() + " classes");
    }

    static void diff(CommandContext context) throws CliException {
        String file = context.requiredArgument(0, "SHEET");
        Sheet proposed = context.readSheet(file, context.readFile(file));
        ConfigurationStore store = context.configurationStore();
        StoredRoot root = readRoot(store);
        if (root.root().isEmpty()) {
            context.print("no configuration is active; every record in " + file + " is new");
            return;
        }
        RevisionEntry current = root.root().get().current();
        Sheet active = context.readSheet("revision " + current.revision(), readSheet(store, current));
        List<String> differences = SheetDiff.diff(active, proposed);
        if (context.isJsonOutput()) {
            context.printJson(differences);
        } else if (differences.isEmpty()) {
            context.print("no differences from revision " + current.revision());
        } else {
            differences.forEach(context::print);
        }
    }

    static void history(CommandContext context) throws CliException {
        List<RevisionEntry> entries = new ArrayList<>();
        readRoot(context.configurationStore()).root().ifPresent(root -> entries.addAll(root.allRevisions()));
        if (context.isJsonOutput()) {
            context.printJson(entries);
            return;
        }
        context.print(String.format("%-9s %-28s %-20s %s", "REVISION", "APPLIED", "AUTHOR", "DIGEST"));
        for (RevisionEntry entry : entries) {
            context.print(String.format(
                    "%-9d %-28s %-20s %s",
                    entry.revision(),
                    entry.appliedAt(),
                    entry.author(),
                    entry.digest().substring(0, 12)));
        }
    }

    static void rollbackTo(CommandContext context) throws CliException {
        long revision = parseRevision(context.requiredArgument(0, "REVISION"));
        ConfigurationStore store = context.configurationStore();
        Optional<RevisionEntry> entry = readRoot(store).root().stream()
                .flatMap(root -> root.allRevisions().stream())
                .filter(candidate -> candidate.revision() == revision)
                .findFirst();
        if (entry.isEmpty()) {
            throw new CliException(ExitCode.USAGE, "revision " + revision + " is not in the history");
        }
        applySheet(context, readSheet(store, entry.get()));
    }

    private static void applySheet(CommandContext context, byte[] bytes) throws CliException {
        ConfigurationStore store = context.configurationStore();
        StoredRoot base = readRoot(store);
        long expectedRevision = context.longOption("base", ANY_REVISION);
        if (expectedRevision != ANY_REVISION && expectedRevision != base.revision()) {
            throw conflictException(base.revision());
        }
        String writer = UUID.randomUUID().toString();
        String author = context.option("author", System.getProperty("user.name", "unknown"));
        ApplyResult result = store.apply(base, bytes, author, writer);
        switch (result.status()) {
            case APPLIED -> context.print("revision " + result.revision() + " applied");
            case CONFLICT -> throw conflictException(result.revision());
            case UNAVAILABLE -> throw new CliException(
                    ExitCode.FAILED, "the Object API is unreachable; nothing was applied");
            case UNKNOWN -> throw new CliException(
                    ExitCode.UNKNOWN,
                    "the Object API did not respond; to learn the outcome, run \"lovagethread history\" and look for digest "
                            + Digests.sha256Hex(bytes).substring(0, 12));
            default -> throw new IllegalStateException("unknown status " + result.status());
        }
        if (!context.hasOption("no-wait")) {
            waitUntilActive(context, result.revision());
        }
    }

    private static CliException conflictException(long revision) {
        return new CliException(
                ExitCode.CONFLICT,
                "the current revision is " + revision
                        + "; nothing was applied; run \"lovagethread diff\" and apply again");
    }

    private static long parseRevision(String text) throws CliException {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new CliException(ExitCode.USAGE, "REVISION: invalid value \"" + text + "\", expected an integer");
        }
    }

    private static StoredRoot readRoot(ConfigurationStore store) throws CliException {
        return store.readRoot().orElseThrow(() -> new CliException(ExitCode.FAILED, "the Object API did not respond"));
    }

    private static byte[] readSheet(ConfigurationStore store, RevisionEntry entry) throws CliException {
        return store.readSheet(entry)
                .orElseThrow(() -> new CliException(
                        ExitCode.FAILED, "the sheet of revision " + entry.revision() + " is missing or incomplete"));
    }

    private static void waitUntilActive(CommandContext context, long revision) throws CliException {
        NodeClient nodes = context.nodeClient();
        long deadlineMillis = System.currentTimeMillis() + context.longOption("seconds", DEFAULT_WAIT_SECONDS) * 1_000;
        int lastReported = -1;
        while (true) {
            List<NodeEntry> entries = nodes.listNodes();
            int activeNodes = 0;
            for (NodeEntry entry : entries) {
                long nodeRevision = nodes.readStatus(entry)
                        .map(status -> status.path("revision").asLong())
                        .orElse(0L);
                activeNodes += nodeRevision >= revision ? 1 : 0;
            }
            if (activeNodes != lastReported) {
                lastReported = activeNodes;
                context.print(
                        "revision " + revision + " active on " + activeNodes + " of " + entries.size() + " nodes");
            }
            if (activeNodes == entries.size()) {
                return;
            }
            if (System.currentTimeMillis() >= deadlineMillis) {
                throw new CliException(
                        ExitCode.FAILED, "revision " + revision + " is applied, but not yet active on every node");
            }
            sleepPollInterval();
        }
    }

    private static void sleepPollInterval() {
        try {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
