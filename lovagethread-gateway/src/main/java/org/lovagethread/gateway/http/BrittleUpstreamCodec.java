package org.lovagethread.gateway.http;

import java.util.List;
import org.lovagethread.gateway.upstream.BrittleReport;
import org.lovagethread.wire.generated.BrittleUpstream;

/** Encodes and decodes the reports about brittle upstreams in messages between gateways. */
final class BrittleUpstreamCodec {
    private BrittleUpstreamCodec() {}

    /**
     * Encodes reports.
     *
     * @param reports the reports
     * @return the messages in the same order
     */
    static List<BrittleUpstream> encode(List<BrittleReport> reports) {
        return reports.stream()
                .map(report -> BrittleUpstream.newBuilder()
                        .setUpstream(report.process())
                        .setMaxRejections(report.maxRejections())
                        .setAgeMillis(report.ageMillis())
                        .setRejections(report.rejections())
                        .setInFlight(report.inFlight())
                        .setWaiting(report.waiting())
                        .setClaim(report.claim())
                        .setRoom(report.room())
                        .setGateways(report.gateways())
                        .build())
                .toList();
    }

    /**
     * Decodes reports. Numbers out of range are replaced by the nearest possible ones.
     *
     * @param messages the messages
     * @return the reports in the same order
     */
    static List<BrittleReport> decode(List<BrittleUpstream> messages) {
        return messages.stream()
                .map(message -> new BrittleReport(
                        message.getUpstream(),
                        Math.max(0, message.getMaxRejections()),
                        Math.max(0, message.getAgeMillis()),
                        Math.max(0, message.getRejections()),
                        Math.max(0, message.getInFlight()),
                        Math.max(0, message.getWaiting()),
                        Math.max(0, message.getClaim()),
                        Math.max(1, message.getRoom()),
                        Math.max(1, message.getGateways())))
                .toList();
    }
}
