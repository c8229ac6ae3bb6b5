package org.lovagethread.node.supplier;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.lovagethread.node.duty.Duty;
import org.lovagethread.supplier.objects.ConfigurationStore;
import org.lovagethread.supplier.objects.ConfigurationStore.StoredRoot;
import org.lovagethread.supplier.objects.RevisionEntry;

/** Follows the configuration in the Object API. */
public final class ConfigurationDuty implements Duty {
    private static final long PAUSE_MILLIS = 500;
    private static final long WATCH_MILLIS = 20_000;

    private final SheetHolder holder;
    private final ConfigurationStore store;
    private long knownVersion;

    /**
     * Creates the duty.
     *
     * @param store the store of configurations
     * @param holder takes the sheets
     */
    public ConfigurationDuty(ConfigurationStore store, SheetHolder holder) {
        this.store = store;
        this.holder = holder;
    }

    @Override
    public String name() {
        return "configuration";
    }

    @Override
    public void step() throws InterruptedException {
        Optional<StoredRoot> root = store.watchRoot(knownVersion, WATCH_MILLIS);
        if (root.isEmpty()) {
            Thread.sleep(PAUSE_MILLIS);
            return;
        }
        if (root.get().version() == knownVersion) {
            return;
        }
        RevisionEntry entry = root.get().root().orElseThrow().current();
        Optional<byte[]> sheet = store.readSheet(entry);
        if (sheet.isEmpty()) {
            Thread.sleep(PAUSE_MILLIS);
            return;
        }
        holder.offer(entry.revision(), entry.digest(), new String(sheet.get(), StandardCharsets.UTF_8));
        knownVersion = root.get().version();
    }
}
