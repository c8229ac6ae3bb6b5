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

/** Implements the commands about the configuration. */
final class ConfigurationCommands {
    private static final long NEWEST = -1;
    private static final long POLL_MILLIS = 200;
    private static final long WAIT_SECONDS = 30;

    private ConfigurationCommands() {}

    static void apply(Invocation invocation) throws CliException {
        String file = invocation.argument(0, "SHEET");
        byte[] bytes = invocation.readFile(file);
        invocation.readSheet(file, bytes);
        applyBytes(invocation, bytes);
    }

    static void check(Invocation invocation) throws CliException {
        String file = invocation.argument(0, "SHEET");
        Sheet sheet = invocation.readSheet(file, invocation.readFile(file));
        invocation.print(file + ": valid: " + sheet.services().size() + " services, "
                + sheet.customers().size() + " customers, " + sheet.classes().size() + " classes");
    }

    static void diff(Invocation invocation) throws CliException {
        String file = invocation.argument(0, "SHEET");
        Sheet wanted = invocation.readSheet(file, invocation.readFile(file));
        ConfigurationStore store = invocation.configurations();
        StoredRoot root = root(store);
        if (root.root().isEmpty()) {
            invocation.print("no configuration is in force; everything in " + file + " is new");
            return;
        }
        RevisionEntry current = root.root().get().current();
        Sheet present = invocation.readSheet("revision " + current.revision(), sheet(store, current));
        List<String> differences = SheetDiff.between(present, wanted);
        if (invocation.json()) {
            invocation.printJson(differences);
        } else if (differences.isEmpty()) {
            invocation.print("no difference from revision " + current.revision());
        } else {
            differences.forEach(invocation::print);
        }
    }

    static void history(Invocation invocation) throws CliException {
        List<RevisionEntry> entries = new ArrayList<>();
        root(invocation.configurations()).root().ifPresent(root -> entries.addAll(root.allRevisions()));
        if (invocation.json()) {
            invocation.printJson(entries);
            return;
        }
        invocation.print(String.format("%-9s %-28s %-20s %s", "REVISION", "APPLIED", "AUTHOR", "DIGEST"));
        for (RevisionEntry entry : entries) {
            invocation.print(String.format(
                    "%-9d %-28s %-20s %s",
                    entry.revision(),
                    entry.appliedAt(),
                    entry.author(),
                    entry.digest().substring(0, 12)));
        }
    }

    static void rollbackTo(Invocation invocation) throws CliException {
        long revision = parseRevision(invocation.argument(0, "REVISION"));
        ConfigurationStore store = invocation.configurations();
        Optional<RevisionEntry> entry = root(store).root().stream()
                .flatMap(root -> root.allRevisions().stream())
                .filter(candidate -> candidate.revision() == revision)
                .findFirst();
        if (entry.isEmpty()) {
            throw new CliException(ExitCode.USAGE, "revision " + revision + " is not in the history");
        }
        applyBytes(invocation, sheet(store, entry.get()));
    }

    private static void applyBytes(Invocation invocation, byte[] bytes) throws CliException {
        ConfigurationStore store = invocation.configurations();
        StoredRoot base = root(store);
        long stated = invocation.numberOption("base", NEWEST);
        if (stated != NEWEST && stated != base.revision()) {
            throw conflict(base.revision());
        }
        String writer = UUID.randomUUID().toString();
        String author = invocation.option("author", System.getProperty("user.name", "unknown"));
        ApplyResult result = store.apply(base, bytes, author, writer);
        switch (result.status()) {
            case APPLIED -> invocation.print("revision " + result.revision() + " applied");
            case CONFLICT -> throw conflict(result.revision());
            case UNAVAILABLE -> throw new CliException(
                    ExitCode.FAILED, "the Object API cannot be reached; nothing was applied");
            case UNKNOWN -> throw new CliException(
                    ExitCode.UNKNOWN,
                    "the Object API gave no answer; run \"lovagethread history\" and look for digest "
                            + Digests.sha256Hex(bytes).substring(0, 12));
            default -> throw new IllegalStateException("unknown status " + result.status());
        }
        if (!invocation.has("no-wait")) {
            waitInForce(invocation, result.revision());
        }
    }

    private static CliException conflict(long revision) {
        return new CliException(
                ExitCode.CONFLICT,
                "revision " + revision + " came first; nothing was applied; run \"lovagethread diff\" and apply again");
    }

    private static long parseRevision(String text) throws CliException {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new CliException(ExitCode.USAGE, "REVISION: found \"" + text + "\", allowed a whole number");
        }
    }

    private static StoredRoot root(ConfigurationStore store) throws CliException {
        return store.readRoot().orElseThrow(() -> new CliException(ExitCode.FAILED, "the Object API gave no answer"));
    }

    private static byte[] sheet(ConfigurationStore store, RevisionEntry entry) throws CliException {
        return store.readSheet(entry)
                .orElseThrow(() -> new CliException(
                        ExitCode.FAILED, "the sheet of revision " + entry.revision() + " cannot be read whole"));
    }

    private static void waitInForce(Invocation invocation, long revision) throws CliException {
        NodeClient nodes = invocation.nodes();
        long deadlineMillis = System.currentTimeMillis() + invocation.numberOption("seconds", WAIT_SECONDS) * 1_000;
        int shown = -1;
        while (true) {
            List<NodeEntry> entries = nodes.nodes();
            int inForce = 0;
            for (NodeEntry entry : entries) {
                long there = nodes.status(entry)
                        .map(status -> status.path("revision").asLong())
                        .orElse(0L);
                inForce += there >= revision ? 1 : 0;
            }
            if (inForce != shown) {
                shown = inForce;
                invocation.print(
                        "revision " + revision + " in force on " + inForce + " of " + entries.size() + " nodes");
            }
            if (inForce == entries.size()) {
                return;
            }
            if (System.currentTimeMillis() >= deadlineMillis) {
                throw new CliException(
                        ExitCode.FAILED, "revision " + revision + " is applied, but not in force on every node yet");
            }
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
