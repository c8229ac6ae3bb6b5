package org.lovagethread.node.supplier;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.lovagethread.node.worker.Worker;
import org.lovagethread.supplier.objects.ConfigurationStore;
import org.lovagethread.supplier.objects.ConfigurationStore.StoredRoot;
import org.lovagethread.supplier.objects.RevisionEntry;

/** Watches the configuration in the Object API and offers each new sheet to the cache. */
public final class ConfigurationWorker implements Worker {
    private static final long RETRY_DELAY_MILLIS = 500;
    private static final long WATCH_TIMEOUT_MILLIS = 20_000;

    private final SheetCache sheetCache;
    private final ConfigurationStore store;
    private long lastRootVersion;

    /**
     * Creates the worker.
     *
     * @param store the configuration store
     * @param sheetCache receives the sheets
     */
    public ConfigurationWorker(ConfigurationStore store, SheetCache sheetCache) {
        this.store = store;
        this.sheetCache = sheetCache;
    }

    @Override
    public String name() {
        return "configuration";
    }

    @Override
    public void runIteration() throws InterruptedException {
        Optional<StoredRoot> root = store.watchRoot(lastRootVersion, WATCH_TIMEOUT_MILLIS);
        if (root.isEmpty()) {
            Thread.sleep(RETRY_DELAY_MILLIS);
            return;
        }
        if (root.get().version() == lastRootVersion) {
            return;
        }
        RevisionEntry entry = root.get().root().orElseThrow().current();
        Optional<byte[]> sheet = store.readSheet(entry);
        if (sheet.isEmpty()) {
            Thread.sleep(RETRY_DELAY_MILLIS);
            return;
        }
        sheetCache.offer(entry.revision(), entry.digest(), new String(sheet.get(), StandardCharsets.UTF_8));
        lastRootVersion = root.get().version();
    }
}
