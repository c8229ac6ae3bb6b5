package org.lovagethread.gateway.http;

import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.lovagethread.gateway.config.GatewayConfiguration;
import org.lovagethread.gateway.store.ObjectStore;
import org.lovagethread.gateway.stream.StreamOriginCleaner;
import org.lovagethread.gateway.stream.StreamOriginLookup;
import org.lovagethread.gateway.stream.StreamOriginStore;
import org.lovagethread.gateway.stream.StreamOrigins;
import org.lovagethread.gateway.stream.StreamQueries;
import org.lovagethread.gateway.stream.StreamVersions;
import org.lovagethread.gateway.stream.StreamVersionsCodec;
import org.lovagethread.gateway.stream.VersionRecorder;
import org.lovagethread.wire.generated.GatewayDatagram;
import org.lovagethread.wire.generated.GatewayState;

/** Connects the knowledge of where streams began with the configuration, the store, the peers and the log. */
final class StreamOriginService {
    /** Time for which calls to the store have failed when no search waits for it any more, in milliseconds. */
    private static final long OUTAGE_MILLIS = 500;

    private final Gateway gateway;
    private final StreamVersions versions = new StreamVersions();
    private final StreamOrigins origins;
    private final StreamOriginLookup lookup;
    private final StreamQueries queries;
    private final VersionRecorder recorder;
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
        this.queries = new StreamQueries(
                versions, gateway.settings().host(), gateway.incarnation(), this::livePeers, gateway::sendToPeers);
        this.recorder = new VersionRecorder(
                store, versions, gateway.store()::era, clusterTime, Math::random, gateway.sync()::recordCall);
        this.origins = new StreamOrigins(
                versions, queries, lookup, recorder, gateway::gatewayCount, gateway.store()::era, clusterTime);
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
        versions.observe(gateway.upstreams().all(), gateway.sync().upstreamsListedMillis(), nowMillis);
        Set<String> mixed = versions.mixedServices(nowMillis);
        reporter.reportMixed(mixed);
        long intervalMillis = origins.writeIntervalMillis();
        writer.tick(intervalMillis, gateway.sync().storeHealth().recoveredMillis(), nowMillis);
        boolean holdsDuty = gateway.lease().fencingToken().isPresent();
        boolean hearsAll = gateway.unreachableShare() == 0;
        recorder.tick(resumableServices(), gateway.gatewayCount(), holdsDuty && hearsAll, nowMillis);
        if (holdsDuty) {
            boolean mayFindChunks = !versions.isComplete() || !mixed.isEmpty();
            cleaner.tick(mayFindChunks, versions.lifetimeMillis(), intervalMillis, nowMillis);
        }
        reporter.reportCalls(writer.calls() + recorder.calls(), lookup.lists());
    }

    /** Ends the searches for streams whose time is over, and begins the next one. */
    void tickSearches(long nowMillis) {
        origins.tick(nowMillis);
    }

    private Set<String> resumableServices() {
        return gateway.configuration()
                .map(configuration -> configuration.routes().resumableServices())
                .orElse(Set.of());
    }

    private Set<String> livePeers() {
        return gateway.peers().livePeers(gateway.nowMillis()).stream()
                .map(peer -> peer.state().getHost())
                .collect(Collectors.toSet());
    }

    /** Handles the queries and replies in a datagram of a peer. */
    void receive(GatewayDatagram datagram) {
        queries.receive(datagram);
    }

    private void applyConfiguration(GatewayConfiguration configuration) {
        versions.longestTimeout(configuration.routes().longestResumableMillis());
    }

    /** Adds what this gateway knows about versions to its state. */
    void addTo(GatewayState.Builder state) {
        StreamVersionsCodec.addTo(state, versions, recorder);
    }

    /** Applies the state of a peer. */
    void applyPeer(GatewayState state, long nowMillis) {
        StreamVersionsCodec.applyPeer(state, versions, recorder, nowMillis);
    }

    void onExchangeEnded(ExchangeRecord ended, long nowMillis) {
        reporter.reportEnd(ended, nowMillis);
    }
}
