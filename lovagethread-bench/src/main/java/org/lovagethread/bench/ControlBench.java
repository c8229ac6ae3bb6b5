package org.lovagethread.bench;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.lovagethread.core.member.LeavingUpstream;
import org.lovagethread.core.member.MemberTable;
import org.lovagethread.core.member.PeerState;
import org.lovagethread.core.upstream.UpstreamLoad;
import org.lovagethread.supplier.sheet.SheetParser;
import org.lovagethread.wire.PeerCodec;
import org.lovagethread.wire.PeerMessage;

/**
 * Measures the size of heartbeats by the number of leaving upstreams, and the time to parse a configuration sheet by the
 * number of rows.
 */
final class ControlBench {
    private static final int[] CUSTOMERS = {5, 50, 500, 5_000};
    private static final int FRAME_HEADER_BYTES = 4;
    private static final int[] LEAVING_UPSTREAMS = {0, 4, 16, 64, 120};
    private static final int[] MEMBERS = {6, 9, 12, 48, 340};
    private static final long NANOS_PER_MICRO = 1_000;
    private static final int REPETITIONS = 200;
    private static final int UPSTREAMS = 11;

    private ControlBench() {}

    static void run() {
        System.out.printf("%-10s %8s %12s%n", "HEARTBEAT", "LEAVING", "BYTES");
        for (int leaving : LEAVING_UPSTREAMS) {
            System.out.printf("%-10s %8d %12d%n", "", leaving, heartbeatBytes(leaving));
        }
        System.out.printf("%n%-10s %8s %16s %16s%n", "SENT", "MEMBERS", "BYTES/S IDLE", "BYTES/S WAVE");
        for (int members : MEMBERS) {
            long heartbeatsPerSecond = (members - 1) * 1_000L / MemberTable.HEARTBEAT_INTERVAL_MILLIS;
            System.out.printf(
                    "%-10s %8d %16d %16d%n",
                    "", members, heartbeatsPerSecond * heartbeatBytes(0), heartbeatsPerSecond * heartbeatBytes(16));
        }
        System.out.printf("%n%-10s %8s %12s %14s%n", "SHEET", "ROWS", "BYTES", "MICROS/READ");
        for (int customers : CUSTOMERS) {
            reportSheetParsing(customers);
        }
    }

    private static int heartbeatBytes(int leaving) {
        List<LeavingUpstream> leavingUpstreams = new ArrayList<>();
        for (int i = 0; i < leaving; i++) {
            leavingUpstreams.add(new LeavingUpstream("assistant-" + i, 1_796_362_800_000L));
        }
        PeerState state = new PeerState(
                "node-123",
                1_796_362_800_000L,
                86_400,
                "10.20.30.40:17201",
                "10.20.30.40:17301",
                "highlands-a",
                false,
                800,
                upstreamLoads(),
                leavingUpstreams);
        return PeerCodec.encode(new PeerMessage.Heartbeat(state)).getSerializedSize() + FRAME_HEADER_BYTES;
    }

    /** Returns the loads that a node reports while it has attempts at every upstream of the larger deployment. */
    private static List<UpstreamLoad> upstreamLoads() {
        List<UpstreamLoad> loads = new ArrayList<>();
        for (int i = 1; i <= UPSTREAMS; i++) {
            loads.add(new UpstreamLoad("assistant-" + i, 7));
        }
        return loads;
    }

    private static void reportSheetParsing(int customers) {
        StringBuilder text = new StringBuilder(String.join(",", SheetParser.COLUMNS)).append('\n');
        text.append("service,assistant,,model,m,1,790,63,yes,,,\n");
        for (int i = 0; i < customers; i++) {
            text.append("customer,customer-").append(i).append(",,,,,,,,100,1,\n");
        }
        byte[] sheetBytes = text.toString().getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < REPETITIONS; i++) {
            SheetParser.parse(sheetBytes);
        }
        long startedNanos = System.nanoTime();
        for (int i = 0; i < REPETITIONS; i++) {
            SheetParser.parse(sheetBytes);
        }
        long micros = (System.nanoTime() - startedNanos) / REPETITIONS / NANOS_PER_MICRO;
        System.out.printf("%-10s %8d %12d %14d%n", "", customers + 1, sheetBytes.length, micros);
    }
}
