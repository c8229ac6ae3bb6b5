package org.lovagethread.gateway.peer;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.NetUtil;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.lovagethread.gateway.GatewaySettings;
import org.lovagethread.gateway.log.EventLog;
import org.lovagethread.gateway.store.ObjectKind;
import org.lovagethread.gateway.store.ObjectStore;
import org.lovagethread.gateway.store.Scheduler;
import org.lovagethread.gateway.store.StoreReply;
import org.lovagethread.gateway.store.StoredObject;

/**
 * Registers this gateway in the store and lists the other registered gateways.
 *
 * <p>A gateway registers before it lists the registrations. Of two gateways that start at the same time, at least one
 * therefore finds the other and sends it its state. After that, gateways discover each other through their datagrams,
 * and no watch on the store is needed. One gateway of each cell lists the registrations periodically, in case datagrams
 * were lost on all paths.
 */
public final class GatewayRegistry {
    /** Delay before a failed call is retried, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 500;

    /** Interval between two list calls of the gateway that maintains the registry, in milliseconds. */
    private static final long LIST_INTERVAL_MILLIS = 20_000;

    /** Interval between two list calls of a gateway that has no live peer, in milliseconds. */
    private static final long ISOLATED_LIST_INTERVAL_MILLIS = 3_000;

    /**
     * Maximum delay of a registration after a restore of the store, over which gateways spread theirs, in
     * milliseconds.
     */
    private static final long MAX_REGISTRATION_DELAY_MILLIS = 1_000;

    private static final String HOST = "host";
    private static final String ZONE = "zone";
    private static final String CAPACITY = "capacity";

    private final ObjectStore store;
    private final GatewaySettings settings;
    private final PeerTable peers;
    private final Scheduler scheduler;
    private final BooleanSupplier stopping;
    private final EventLog log;
    private final Map<String, String> hostByName = new HashMap<>();
    private Optional<Runnable> onFirstAttempt = Optional.empty();
    private long nextListMillis = Long.MAX_VALUE;
    private boolean listComplete;

    /**
     * Creates a registry. It makes no call before {@link #start}.
     *
     * @param store the store
     * @param settings the settings of this gateway
     * @param peers the table that receives the registered gateways
     * @param scheduler provides the current time and runs delayed calls
     * @param stopping returns true when this gateway is about to stop and need not be registered
     * @param log the log for removed registrations
     */
    public GatewayRegistry(
            ObjectStore store,
            GatewaySettings settings,
            PeerTable peers,
            Scheduler scheduler,
            BooleanSupplier stopping,
            EventLog log) {
        this.store = store;
        this.settings = settings;
        this.peers = peers;
        this.scheduler = scheduler;
        this.stopping = stopping;
        this.log = log;
    }

    /**
     * Registers this gateway and lists the others.
     *
     * @param firstAttemptCallback run once, when the other gateways have been listed or the first attempt has failed
     */
    public void start(Runnable firstAttemptCallback) {
        onFirstAttempt = Optional.of(firstAttemptCallback);
        register();
    }

    /** Registers this gateway again within a second, because the store has come back from an older copy. */
    public void onRestore() {
        if (!stopping.getAsBoolean()) {
            scheduler.schedule((long) (Math.random() * MAX_REGISTRATION_DELAY_MILLIS), this::register);
        }
    }

    private void register() {
        store.create(ObjectKind.GATEWAYS, settings.node(), registration(), this::onCreated);
    }

    /**
     * Lists the registrations if a list call is due.
     *
     * @param maintainsRegistry whether this gateway maintains the registry for its cell
     * @param isolated whether this gateway has no live peer
     * @param nowMillis the current time in milliseconds
     */
    public void listIfDue(boolean maintainsRegistry, boolean isolated, long nowMillis) {
        boolean due = nowMillis >= nextListMillis;
        boolean isolatedDue =
                isolated && nowMillis >= nextListMillis - (LIST_INTERVAL_MILLIS - ISOLATED_LIST_INTERVAL_MILLIS);
        if (((maintainsRegistry || !listComplete) && due) || isolatedDue) {
            list("", new ArrayList<>());
        }
    }

    /**
     * Removes the registrations of gateways that are no longer running.
     *
     * @param hosts the IP addresses of the gateways
     */
    public void removeRegistrations(List<String> hosts) {
        hostByName.forEach((name, host) -> {
            if (hosts.contains(host)) {
                log.add(log.line("registration-removed").put("gateway", name).put("host", host));
                store.remove(ObjectKind.GATEWAYS, name, reply -> {});
            }
        });
        hostByName.values().removeAll(hosts);
    }

    private void onCreated(StoreReply<StoredObject> reply) {
        if (reply.status() == StoreReply.Status.CONFLICT && reply.value().isPresent()) {
            StoredObject existing = reply.value().get();
            if (hostOf(existing).equals(settings.host())) {
                list("", new ArrayList<>());
            } else {
                store.replace(ObjectKind.GATEWAYS, existing, registration(), this::onReplaced);
            }
        } else if (reply.status() == StoreReply.Status.OK) {
            list("", new ArrayList<>());
        } else {
            scheduleRetry();
        }
    }

    private void onReplaced(StoreReply<StoredObject> reply) {
        if (reply.status() == StoreReply.Status.OK) {
            list("", new ArrayList<>());
        } else {
            scheduleRetry();
        }
    }

    private void scheduleRetry() {
        notifyFirstAttempt();
        if (!stopping.getAsBoolean()) {
            scheduler.schedule(RETRY_DELAY_MILLIS, this::register);
        }
    }

    private void list(String after, List<StoredObject> collected) {
        nextListMillis = scheduler.nowMillis() + LIST_INTERVAL_MILLIS;
        store.list(ObjectKind.GATEWAYS, after, reply -> {
            if (reply.status() != StoreReply.Status.OK || reply.value().isEmpty()) {
                nextListMillis = scheduler.nowMillis() + RETRY_DELAY_MILLIS;
                notifyFirstAttempt();
                return;
            }
            ObjectStore.Page page = reply.value().get();
            collected.addAll(page.objects());
            page.nextAfter(after).ifPresentOrElse(name -> list(name, collected), () -> onListed(collected));
        });
    }

    private void onListed(List<StoredObject> objects) {
        listComplete = true;
        Set<String> unlistedHosts = new HashSet<>(hostByName.values());
        hostByName.clear();
        for (StoredObject object : objects) {
            if (!isIpAddress(hostOf(object))) {
                log.add(log.line("registration-unreadable").put("gateway", object.name()));
                continue;
            }
            hostByName.put(object.name(), hostOf(object));
            unlistedHosts.remove(hostOf(object));
            peers.add(new PeerTable.GatewayInstance(
                    hostOf(object),
                    object.content().path(ZONE).asText(),
                    object.content().path(CAPACITY).asInt(),
                    scheduler.nowMillis()));
        }
        unlistedHosts.forEach(peers::remove);
        if (!settings.host().equals(hostByName.get(settings.node())) && !stopping.getAsBoolean()) {
            scheduleRetry();
        }
        notifyFirstAttempt();
    }

    private void notifyFirstAttempt() {
        Optional<Runnable> callback = onFirstAttempt;
        onFirstAttempt = Optional.empty();
        callback.ifPresent(Runnable::run);
    }

    private ObjectNode registration() {
        ObjectNode content = JsonNodeFactory.instance.objectNode();
        content.put(HOST, settings.host());
        content.put(ZONE, settings.zone());
        content.put(CAPACITY, settings.capacity());
        return content;
    }

    /** Returns whether a host can be used without a name lookup, which would block the event loop. */
    private static boolean isIpAddress(String host) {
        return NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host);
    }

    private static String hostOf(StoredObject object) {
        return object.content().path(HOST).asText();
    }
}
