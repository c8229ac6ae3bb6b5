package org.lovagethread.gateway.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.lovagethread.gateway.upstream.BrittleNotice;
import org.lovagethread.gateway.upstream.BrittleReport;
import org.lovagethread.gateway.upstream.BrittleUpstreams;
import org.lovagethread.gateway.upstream.Upstream;
import org.lovagethread.gateway.upstream.UpstreamLoad;
import org.lovagethread.gateway.upstream.UpstreamTable;

/**
 * Emulates gateways at brittle servers in virtual time. The gateways exchange their states at intervals; messages have a
 * latency and may be lost.
 */
final class BrittleEmulation {
    static final int GATEWAYS = 12;
    private static final double SEND_INTERVAL_MILLIS = 140;
    private static final double MIN_SEND_INTERVAL_MILLIS = 60;
    private static final double TICK_MILLIS = 20;
    private static final double LINK_MILLIS = 1;
    private static final double MAX_MESSAGE_MILLIS = 8;
    private static final double AVOIDANCE_MILLIS = 500;
    private static final long NOTICE_MILLIS = 150;
    private static final int MAX_ATTEMPTS = 3;

    final VirtualClock clock = new VirtualClock();
    final List<BrittleServer> servers = new ArrayList<>();
    final List<EmulatedGateway> gateways = new ArrayList<>();
    private final Random random;
    private final boolean limited;
    double messageLoss;
    double deadlineMillis = 2_000;
    int requests;
    int served;
    int refused;

    /**
     * Creates an emulation.
     *
     * @param seed the seed of all random numbers
     * @param limited whether the gateways limit the requests to brittle servers
     */
    BrittleEmulation(long seed, boolean limited) {
        this.random = new Random(seed);
        this.limited = limited;
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.add(new EmulatedGateway("g-" + i));
        }
    }

    BrittleServer addServer(String service, BrittleServer.Load load) {
        BrittleServer server =
                new BrittleServer(clock, new Random(random.nextLong()), "i-" + servers.size(), service, load);
        servers.add(server);
        return server;
    }

    void start() {
        gateways.forEach(EmulatedGateway::start);
    }

    /** Sends requests for a service at random times to all gateways. */
    void load(String service, double perSecond, double fromMillis, double toMillis) {
        clock.schedule(fromMillis - clock.nowMillis(), () -> arrive(service, perSecond, toMillis));
    }

    private void arrive(String service, double perSecond, double toMillis) {
        if (clock.nowMillis() >= toMillis) {
            return;
        }
        gateways.get(random.nextInt(GATEWAYS)).receive(service);
        clock.schedule(
                -Math.log(1 - random.nextDouble()) * 1_000 / perSecond, () -> arrive(service, perSecond, toMillis));
    }

    /** Sends requests to all gateways at the same moment. */
    void burst(String service, int perGateway, double atMillis) {
        clock.schedule(
                atMillis - clock.nowMillis(),
                () -> gateways.forEach(gateway -> {
                    for (int i = 0; i < perGateway; i++) {
                        gateway.receive(service);
                    }
                }));
    }

    int falls() {
        return servers.stream().mapToInt(server -> server.falls).sum();
    }

    int rejected() {
        return servers.stream().mapToInt(server -> server.rejected).sum();
    }

    int completed() {
        return servers.stream().mapToInt(server -> server.completed).sum();
    }

    /** A request at a gateway. */
    private final class Request {
        final String service;
        final double latestMillis = clock.nowMillis() + deadlineMillis;
        final Set<String> tried = new HashSet<>();

        Request(String service) {
            this.service = service;
        }
    }

    /** A gateway with its view of the servers and of its peers. */
    final class EmulatedGateway {
        private final String name;
        private final Deque<Request> queue = new ArrayDeque<>();
        private UpstreamTable table = new UpstreamTable();
        private double lastSentMillis;
        private int incarnation;
        private boolean stopped;

        EmulatedGateway(String name) {
            this.name = name;
        }

        private void start() {
            lastSentMillis = clock.nowMillis() - random.nextDouble() * SEND_INTERVAL_MILLIS;
            tick(incarnation);
        }

        BrittleUpstreams brittle() {
            return table.brittle();
        }

        /** Ends the process, and starts another one that knows nothing. */
        void restart(double downMillis) {
            stopped = true;
            incarnation++;
            queue.clear();
            clock.schedule(downMillis, () -> {
                table = new UpstreamTable();
                stopped = false;
                start();
            });
        }

        private void tick(int ofIncarnation) {
            if (ofIncarnation != incarnation) {
                return;
            }
            for (BrittleServer server : servers) {
                if (!server.isDown()) {
                    table.put(server.entry(), 1, now());
                }
            }
            double sinceSent = clock.nowMillis() - lastSentMillis;
            boolean urgent = brittle().isUrgent() && sinceSent >= MIN_SEND_INTERVAL_MILLIS;
            if (sinceSent >= SEND_INTERVAL_MILLIS || urgent) {
                lastSentMillis = clock.nowMillis();
                sendState();
            }
            drain();
            clock.schedule(TICK_MILLIS, () -> tick(ofIncarnation));
        }

        private void sendState() {
            var cluster = new BrittleUpstreams.Cluster(name, GATEWAYS, NOTICE_MILLIS, now());
            brittle().divide(table.all(), cluster, this::waiting, now());
            List<BrittleReport> reports = brittle().reports(now());
            List<UpstreamLoad.Work> loads = table.all().stream()
                    .map(upstream -> upstream.load().local())
                    .toList();
            List<String> ids =
                    table.all().stream().map(upstream -> upstream.entry().id()).toList();
            for (EmulatedGateway peer : gateways) {
                if (peer != this && random.nextDouble() >= messageLoss) {
                    clock.schedule(
                            LINK_MILLIS + random.nextDouble() * MAX_MESSAGE_MILLIS,
                            () -> peer.receiveState(name, reports, ids, loads));
                }
            }
        }

        private int waiting(String service) {
            return (int) queue.stream()
                    .filter(request -> request.service.equals(service))
                    .count();
        }

        private void receiveState(
                String peer, List<BrittleReport> reports, List<String> ids, List<UpstreamLoad.Work> loads) {
            if (stopped) {
                return;
            }
            for (int i = 0; i < ids.size(); i++) {
                UpstreamLoad.Work work = loads.get(i);
                table.find(ids.get(i)).ifPresent(upstream -> upstream.load().updatePeer(peer, work, now()));
            }
            if (limited) {
                brittle().applyPeer(peer, reports, table, now());
            }
        }

        private void receive(String service) {
            requests++;
            if (stopped) {
                refused++;
                return;
            }
            Request request = new Request(service);
            boolean mustWait = queue.stream().anyMatch(waiting -> waiting.service.equals(service));
            if (mustWait || !dispatch(request)) {
                queue.add(request);
                brittle().recordWaiting();
            }
        }

        private void drain() {
            Set<String> full = new HashSet<>();
            for (Request request : List.copyOf(queue)) {
                if (clock.nowMillis() >= request.latestMillis) {
                    queue.remove(request);
                    refused++;
                } else if (!full.contains(request.service)) {
                    if (dispatch(request)) {
                        queue.remove(request);
                    } else {
                        full.add(request.service);
                    }
                }
            }
        }

        private boolean dispatch(Request request) {
            List<Upstream> usable = table.available(request.service).stream()
                    .filter(upstream -> !upstream.failureDetector().shouldAvoid(now()))
                    .toList();
            Optional<Upstream> best = brittle().withRoom(usable, now()).stream()
                    .filter(upstream -> !request.tried.contains(upstream.entry().id()))
                    .min(Comparator.comparingInt(
                            upstream -> upstream.load().total(now()).inFlight()));
            best.ifPresent(upstream -> send(request, upstream));
            return best.isPresent();
        }

        private void send(Request request, Upstream upstream) {
            request.tried.add(upstream.entry().id());
            int sentBy = incarnation;
            brittle().recordSent(upstream.entry(), now());
            upstream.load().recordStart(0, 0);
            BrittleServer server =
                    servers.get(Integer.parseInt(upstream.entry().id().substring(2)));
            clock.schedule(
                    LINK_MILLIS,
                    () -> server.receive(new BrittleServer.Caller() {
                        @Override
                        public void onResponse(boolean ran, BrittleNotice notice) {
                            clock.schedule(LINK_MILLIS, () -> {
                                if (sentBy == incarnation) {
                                    end(request, upstream, ran, notice);
                                }
                            });
                        }

                        @Override
                        public void onBreak() {
                            clock.schedule(LINK_MILLIS, () -> {
                                if (sentBy == incarnation) {
                                    upstream.load().recordEnd(false, 0, 0);
                                    upstream.failureDetector().recordUnreachable(now(), (long) AVOIDANCE_MILLIS);
                                    refused++;
                                }
                            });
                        }
                    }));
        }

        private void end(Request request, Upstream upstream, boolean ran, BrittleNotice notice) {
            if (limited) {
                brittle().recordResponse(upstream, notice, now());
                if (!ran) {
                    brittle().recordRejection(upstream.entry(), now());
                }
            }
            upstream.recordReceived(now());
            upstream.load().recordEnd(false, 0, 0);
            if (ran) {
                served++;
            } else if (request.tried.size() < MAX_ATTEMPTS && dispatch(request)) {
                return;
            } else {
                refused++;
            }
            drain();
        }

        private long now() {
            return (long) clock.nowMillis();
        }
    }
}
