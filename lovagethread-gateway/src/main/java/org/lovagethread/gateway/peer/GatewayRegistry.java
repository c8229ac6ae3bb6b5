package org.lovagethread.gateway.peer;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
 * Registers this gateway in the store and reads which others are registered.
 *
 * <p>A gateway first registers and then lists, so of two gateways that start at the same time at least one sees the other
 * and tells it. From then on gateways hear of each other by their datagrams; no watch is kept. One gateway of each cell
 * lists again from time to time, for the case that datagrams were lost on all ways.
 */
public final class GatewayRegistry {
    /** Time after which a call that failed is made again, in milliseconds. */
    private static final long RETRY_MILLIS = 500;

    /** Time between two lists of a gateway that keeps the registry, in milliseconds. */
    private static final long LIST_MILLIS = 20_000;

    /** Time between two lists of a gateway that hears no other, in milliseconds. */
    private static final long ALONE_LIST_MILLIS = 3_000;

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
    private Optional<Runnable> firstOutcome = Optional.empty();
    private long nextListMillis = Long.MAX_VALUE;
    private boolean complete;

    /**
     * Creates a registry that has not begun.
     *
     * @param store the store
     * @param settings the settings of this gateway
     * @param peers takes the registered gateways
     * @param scheduler tells the time and runs calls later
     * @param stopping tells whether this gateway is about to stop and need not be registered
     * @param log takes a line for each change of belief
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
     * @param tried run once when the others are known or the first try has failed
     */
    public void start(Runnable tried) {
        firstOutcome = Optional.of(tried);
        register();
    }

    private void register() {
        store.create(ObjectKind.GATEWAYS, settings.node(), content(), this::created);
    }

    /**
     * Lists again when that is due.
     *
     * @param keeps whether this gateway keeps the registry for its cell
     * @param alone whether no other gateway is heard
     * @param nowMillis the present time in milliseconds
     */
    public void tick(boolean keeps, boolean alone, long nowMillis) {
        boolean due = nowMillis >= nextListMillis;
        boolean dueAlone = alone && nowMillis >= nextListMillis - (LIST_MILLIS - ALONE_LIST_MILLIS);
        if (((keeps || !complete) && due) || dueAlone) {
            list("", new ArrayList<>());
        }
    }

    /**
     * Removes the registrations of gateways that are gone for good.
     *
     * @param hosts their IP addresses
     */
    public void forget(List<String> hosts) {
        hostByName.forEach((name, host) -> {
            if (hosts.contains(host)) {
                log.add(log.line("registration-removed").put("gateway", name).put("host", host));
                store.remove(ObjectKind.GATEWAYS, name, reply -> {});
            }
        });
        hostByName.values().removeAll(hosts);
    }

    private void created(StoreReply<StoredObject> reply) {
        if (reply.status() == StoreReply.Status.CONFLICT && reply.value().isPresent()) {
            StoredObject known = reply.value().get();
            if (host(known).equals(settings.host())) {
                list("", new ArrayList<>());
            } else {
                store.replace(ObjectKind.GATEWAYS, known, content(), this::replaced);
            }
        } else if (reply.status() == StoreReply.Status.OK) {
            list("", new ArrayList<>());
        } else {
            again();
        }
    }

    private void replaced(StoreReply<StoredObject> reply) {
        if (reply.status() == StoreReply.Status.OK) {
            list("", new ArrayList<>());
        } else {
            again();
        }
    }

    private void again() {
        tellFirstOutcome();
        if (!stopping.getAsBoolean()) {
            scheduler.after(RETRY_MILLIS, this::register);
        }
    }

    private void list(String after, List<StoredObject> earlier) {
        nextListMillis = scheduler.nowMillis() + LIST_MILLIS;
        store.list(ObjectKind.GATEWAYS, after, reply -> {
            if (reply.status() != StoreReply.Status.OK || reply.value().isEmpty()) {
                nextListMillis = scheduler.nowMillis() + RETRY_MILLIS;
                tellFirstOutcome();
                return;
            }
            ObjectStore.Page page = reply.value().get();
            earlier.addAll(page.objects());
            if (page.more() && !page.objects().isEmpty()) {
                list(page.objects().get(page.objects().size() - 1).name(), earlier);
            } else {
                listed(earlier);
            }
        });
    }

    private void listed(List<StoredObject> objects) {
        complete = true;
        Set<String> gone = new HashSet<>(hostByName.values());
        hostByName.clear();
        for (StoredObject object : objects) {
            hostByName.put(object.name(), host(object));
            gone.remove(host(object));
            peers.add(new PeerTable.Place(
                    host(object),
                    object.content().path(ZONE).asText(),
                    object.content().path(CAPACITY).asInt(),
                    scheduler.nowMillis()));
        }
        gone.forEach(peers::remove);
        if (!settings.host().equals(hostByName.get(settings.node())) && !stopping.getAsBoolean()) {
            again();
        }
        tellFirstOutcome();
    }

    private void tellFirstOutcome() {
        Optional<Runnable> told = firstOutcome;
        firstOutcome = Optional.empty();
        told.ifPresent(Runnable::run);
    }

    private ObjectNode content() {
        ObjectNode content = JsonNodeFactory.instance.objectNode();
        content.put(HOST, settings.host());
        content.put(ZONE, settings.zone());
        content.put(CAPACITY, settings.capacity());
        return content;
    }

    private static String host(StoredObject object) {
        return object.content().path(HOST).asText();
    }
}
