package org.lovagethread.gateway.http;

import java.util.Set;
import java.util.function.LongSupplier;
import org.lovagethread.gateway.config.GatewayConfiguration;
import org.lovagethread.gateway.store.ObjectStore;
import org.lovagethread.gateway.stream.StreamOriginCleaner;
import org.lovagethread.gateway.stream.StreamOriginLookup;
import org.lovagethread.gateway.stream.StreamOriginStore;
import org.lovagethread.gateway.stream.StreamOrigins;
import org.lovagethread.gateway.stream.StreamVersions;
import org.lovagethread.gateway.stream.StreamVersionsCodec;
import org.lovagethread.wire.generated.GatewayState;

/** Connects the knowledge of where streams began with the configuration, the store, the peers and the log. */
final class StreamOriginService {
    /** Time for which calls to the store have failed when no search waits for it any more, in milliseconds. */
    private static final long OUTAGE_MILLIS = 500;

    private final Gateway gateway;
    private final StreamVersions versions = new StreamVersions();
    private final StreamOrigins origins;
    private final StreamOriginLookup lookup;
    private final StreamOriginStore writer;
    private final StreamOriginCleaner cleaner;
    private final StreamOriginReporter reporter;

    /**
     * Creates a service without streams.
     *
     * @param gateway the gateway, whose synchronization and peers exist already
     * @param clusterTime supplies the cluster time in milliseconds since the epoch
     */
    StreamOriginService(Gateway gateway, LongSupplier clusterTime) {
        this.gateway = gateway;
        ObjectStore store = gateway.store();
        String process = gateway.settings().node() + '-' + gateway.settings().host() + '-' + gateway.incarnation();
        this.lookup = new StreamOriginLookup(
                store,
                clusterTime,
                gateway.sync()::recordCall,
                () -> gateway.sync().storeHealth().outageMillis(gateway.nowMillis()) >= OUTAGE_MILLIS);
        this.writer = new StreamOriginStore(store, versions, process, clusterTime, gateway.sync()::recordCall);
        this.cleaner = new StreamOriginCleaner(store, clusterTime, gateway.sync()::recordCall);
        this.reporter = new StreamOriginReporter(gateway.log(), gateway.metrics());
        this.origins = new StreamOrigins(versions, gateway.upstreams(), lookup, gateway::gatewayCount, clusterTime);
        if (gateway.settings().firstStart()) {
            versions.markComplete();
        }
    }

    /** Returns what exchanges use. */
    StreamOrigins origins() {
        return origins;
    }

    /** Observes the upstreams and makes the calls to the store that are due. */
    void tick(long nowMillis) {
        if (!gateway.sync().isComplete()) {
            return;
        }
        gateway.configuration().ifPresent(this::applyConfiguration);
        versions.observe(gateway.upstreams().all(), nowMillis);
        Set<String> mixed = versions.mixedServices(nowMillis);
        reporter.reportMixed(mixed);
        long intervalMillis = origins.writeIntervalMillis();
        writer.tick(intervalMillis, gateway.sync().storeHealth().recoveredMillis(), nowMillis);
        if (gateway.lease().fencingToken().isPresent()) {
            boolean mayFindChunks = !versions.isComplete() || !mixed.isEmpty();
            cleaner.tick(mayFindChunks, versions.lifetimeMillis(), intervalMillis, nowMillis);
        }
        reporter.reportCalls(writer.calls(), lookup.lists());
    }

    /** Ends the searches for streams whose time is over, and begins the next one. */
    void tickSearches(long nowMillis) {
        origins.tick(nowMillis);
    }

    private void applyConfiguration(GatewayConfiguration configuration) {
        versions.longestTimeout(configuration.routes().longestResumableMillis());
    }

    /** Adds what this gateway knows about versions to its state. */
    void addTo(GatewayState.Builder state) {
        StreamVersionsCodec.addTo(state, versions);
    }

    /** Applies the state of a peer. */
    void applyPeer(GatewayState state, long nowMillis) {
        StreamVersionsCodec.applyPeer(state, versions, nowMillis);
    }

    void onExchangeEnded(ExchangeRecord ended, long nowMillis) {
        reporter.reportEnd(ended, nowMillis);
    }
}
