package org.lovagethread.gateway.link;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.lovagethread.gateway.upstream.UpstreamEntry;

/** Gateways with their links to upstreams, in virtual time. */
final class LinkSimulation {
    static final long CONNECT_TIMEOUT_MILLIS = 400;
    private static final long STEP_MILLIS = 20;
    private static final long STATEMENT_INTERVAL_MILLIS = 140;
    private static final long ROUND_TRIP_MILLIS = 4;
    private static final long RESPONSE_MILLIS = 120;

    /** State of the links of a gateway to all upstreams, as packets meet it. */
    enum Links {
        SOUND(true, true),
        HANGING(false, false),
        RESET(false, false),
        REFUSED(false, false),
        NEW_REFUSED(true, false);

        final boolean carriesOld;
        final boolean carriesNew;

        Links(boolean carriesOld, boolean carriesNew) {
            this.carriesOld = carriesOld;
            this.carriesNew = carriesNew;
        }
    }

    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    final Map<String, SimulatedUpstream> upstreams = new LinkedHashMap<>();
    final List<SimulatedGateway> gateways = new ArrayList<>();
    private long nowMillis;
    private long eventCount;

    LinkSimulation(int gatewayCount, int upstreamCount, long seed) {
        random = new Random(seed);
        for (int i = 0; i < upstreamCount; i++) {
            UpstreamEntry entry = new UpstreamEntry(
                    "i-" + i, "desk-" + i % 2, "10.0.0." + i, 80, "zone-" + i % 3, 6, false, false, 1);
            upstreams.put(entry.id(), new SimulatedUpstream(entry));
        }
        for (int i = 0; i < gatewayCount; i++) {
            gateways.add(new SimulatedGateway("g-" + i));
        }
    }

    private record Event(long atMillis, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMillis != other.atMillis
                    ? Long.compare(atMillis, other.atMillis)
                    : Long.compare(order, other.order);
        }
    }

    long nowMillis() {
        return nowMillis;
    }

    SimulatedGateway gateway(int index) {
        return gateways.get(index);
    }

    /** Lets all gateways send requests, a share of them on new connections. */
    LinkSimulation traffic(long intervalMillis, double newConnectionShare) {
        gateways.forEach(gateway -> {
            gateway.requestIntervalMillis = intervalMillis;
            gateway.newConnectionShare = newConnectionShare;
        });
        return this;
    }

    void runFor(long millis) {
        long endMillis = nowMillis + millis;
        while (nowMillis < endMillis) {
            nowMillis += STEP_MILLIS;
            while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
                events.poll().action().run();
            }
            gateways.stream().filter(gateway -> !gateway.frozen).forEach(SimulatedGateway::step);
        }
    }

    private void at(long delayMillis, Runnable action) {
        events.add(new Event(nowMillis + delayMillis, eventCount++, action));
    }

    /** An upstream, which may have stopped or be silent for a while. */
    static final class SimulatedUpstream {
        final UpstreamEntry entry;
        boolean stopped;
        long silentUntilMillis;
        int connections;

        SimulatedUpstream(UpstreamEntry entry) {
            this.entry = entry;
        }
    }

    /** A gateway that sends requests and exchanges statements. */
    final class SimulatedGateway {
        final String name;
        final List<Long> lostMillis = new ArrayList<>();
        final List<Long> restoredMillis = new ArrayList<>();
        LinkMonitor monitor = newMonitor();
        Links links = Links.SOUND;
        boolean frozen;
        long requestIntervalMillis = Long.MAX_VALUE;
        double newConnectionShare;
        int probes;
        int maxProbesInStep;
        private final List<Runnable> held = new ArrayList<>();
        private long nextRequestMillis;
        private long nextStatementMillis;
        private int requestsUnderWay;

        SimulatedGateway(String name) {
            this.name = name;
        }

        private LinkMonitor newMonitor() {
            return new LinkMonitor(random::nextDouble);
        }

        void restart() {
            monitor = newMonitor();
            requestsUnderWay = 0;
        }

        void cut(Links newLinks) {
            links = newLinks;
            if (newLinks == Links.RESET && requestsUnderWay > 0) {
                monitor.recordReset(nowMillis);
            }
        }

        void freezeFor(long millis) {
            frozen = true;
            at(millis, () -> {
                frozen = false;
                held.forEach(Runnable::run);
                held.clear();
            });
        }

        private void whenAwake(Runnable action) {
            if (frozen) {
                held.add(action);
            } else {
                action.run();
            }
        }

        private void step() {
            if (nowMillis >= nextRequestMillis && requestIntervalMillis != Long.MAX_VALUE) {
                nextRequestMillis = nowMillis + requestIntervalMillis;
                sendRequest();
            }
            monitor.tick(
                    upstreams.values().stream().map(upstream -> upstream.entry).toList(),
                    requestsUnderWay > 0,
                    nowMillis);
            List<UpstreamEntry> begun = monitor.beginProbes(nowMillis);
            probes += begun.size();
            maxProbesInStep = Math.max(maxProbesInStep, begun.size());
            begun.forEach(
                    entry -> connect(upstreams.get(entry.id()), LinkMonitor.PROBE_TIMEOUT_MILLIS, () -> {}, () -> {}));
            monitor.takeChange().ifPresent(change -> (change instanceof LinkChange.Lost ? lostMillis : restoredMillis)
                    .add(nowMillis));
            if (nowMillis >= nextStatementMillis) {
                nextStatementMillis = nowMillis + STATEMENT_INTERVAL_MILLIS;
                sendStatement();
            }
        }

        private void sendStatement() {
            LinkStatement statement = monitor.statement(nowMillis);
            for (SimulatedGateway peer : gateways) {
                if (peer != this) {
                    at(2, () -> peer.whenAwake(() -> peer.monitor.recordPeer(name, statement, nowMillis)));
                }
            }
        }

        private void sendRequest() {
            List<SimulatedUpstream> targets = List.copyOf(upstreams.values());
            SimulatedUpstream upstream = targets.get(random.nextInt(targets.size()));
            requestsUnderWay++;
            if (random.nextDouble() < newConnectionShare) {
                connect(
                        upstream,
                        CONNECT_TIMEOUT_MILLIS,
                        () -> awaitResponse(upstream, links.carriesNew),
                        () -> requestsUnderWay--);
            } else {
                awaitResponse(upstream, links.carriesOld);
            }
        }

        private void awaitResponse(SimulatedUpstream upstream, boolean carried) {
            at(RESPONSE_MILLIS, () -> {
                if (carried && links.carriesOld && !upstream.stopped && nowMillis >= upstream.silentUntilMillis) {
                    requestsUnderWay--;
                    whenAwake(() -> monitor.recordReceived(nowMillis));
                } else {
                    at(CONNECT_TIMEOUT_MILLIS, () -> requestsUnderWay--);
                }
            });
        }

        private void connect(SimulatedUpstream upstream, long timeoutMillis, Runnable onConnected, Runnable onFailed) {
            long beganMillis = nowMillis;
            LinkMonitor connecting = monitor;
            boolean hangs = links == Links.HANGING || nowMillis < upstream.silentUntilMillis;
            boolean succeeds = links.carriesNew && !upstream.stopped && !hangs;
            long delayMillis = hangs ? timeoutMillis : ROUND_TRIP_MILLIS;
            upstream.connections += succeeds ? 1 : 0;
            at(
                    delayMillis,
                    () -> whenAwake(() -> {
                        if (succeeds) {
                            connecting.recordConnected(upstream.entry, beganMillis, nowMillis);
                            onConnected.run();
                        } else {
                            connecting.recordFailed(upstream.entry, beganMillis, nowMillis);
                            onFailed.run();
                        }
                    }));
        }
    }
}
