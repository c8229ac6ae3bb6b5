package org.lovagethread.gateway.http;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.lovagethread.core.Checks;
import org.lovagethread.gateway.policy.FairAdmission;
import org.lovagethread.gateway.policy.WorkLedger;
import org.lovagethread.gateway.policy.WorkLedger.Totals;

/**
 * Encodes and decodes the work of customers in messages between gateways, as the message {@code ServiceWork} of
 * {@code fairness.proto}.
 *
 * <p>The generated classes do not contain this message, so it is read and written as an unknown field.
 */
final class WorkReportCodec {
    /** Number of the field in the state of a gateway. */
    static final int GATEWAY_FIELD = 26;

    /** Number of the field in the summary of a cell. */
    static final int CELL_FIELD = 21;

    private static final int SERVICE_FIELD = 1;
    private static final int CUSTOMERS_FIELD = 2;
    private static final int RANKS_FIELD = 3;
    private static final int DEMANDED_FIELD = 4;
    private static final int SERVED_FIELD = 5;

    private WorkReportCodec() {}

    /**
     * Encodes the totals of all services that have any.
     *
     * @param fairAdmission the ledgers
     * @param field the number of the field that contains the reports
     * @param selector selects the totals of a ledger
     * @return the field to add to the message
     */
    static UnknownFieldSet encode(FairAdmission fairAdmission, int field, Function<WorkLedger, List<Totals>> selector) {
        UnknownFieldSet.Field.Builder messages = UnknownFieldSet.Field.newBuilder();
        for (Map.Entry<String, WorkLedger> ledger : fairAdmission.ledgers().entrySet()) {
            List<Totals> totals = selector.apply(ledger.getValue());
            if (!totals.isEmpty()) {
                messages.addLengthDelimited(encode(ledger.getKey(), totals));
            }
        }
        return UnknownFieldSet.newBuilder().addField(field, messages.build()).build();
    }

    private static ByteString encode(String service, List<Totals> totals) {
        UnknownFieldSet.Field.Builder customers = UnknownFieldSet.Field.newBuilder();
        UnknownFieldSet.Field.Builder ranks = UnknownFieldSet.Field.newBuilder();
        UnknownFieldSet.Field.Builder demanded = UnknownFieldSet.Field.newBuilder();
        UnknownFieldSet.Field.Builder served = UnknownFieldSet.Field.newBuilder();
        for (Totals entry : totals) {
            customers.addFixed32(entry.key().customer());
            ranks.addVarint(entry.key().rank());
            demanded.addVarint(entry.demanded());
            served.addVarint(entry.served());
        }
        return UnknownFieldSet.newBuilder()
                .addField(
                        SERVICE_FIELD,
                        UnknownFieldSet.Field.newBuilder()
                                .addLengthDelimited(ByteString.copyFromUtf8(service))
                                .build())
                .addField(CUSTOMERS_FIELD, customers.build())
                .addField(RANKS_FIELD, ranks.build())
                .addField(DEMANDED_FIELD, demanded.build())
                .addField(SERVED_FIELD, served.build())
                .build()
                .toByteString();
    }

    /**
     * Applies the totals reported by a peer. A report that is unreadable or has invalid values changes nothing and is
     * counted.
     *
     * @param fields the unknown fields of the message
     * @param field the number of the field that contains the reports
     * @param peer the name and incarnation of the peer
     * @param fairAdmission the ledgers to update
     * @param nowMillis the current time in milliseconds
     */
    static void applyPeer(UnknownFieldSet fields, int field, String peer, FairAdmission fairAdmission, long nowMillis) {
        for (ByteString message : fields.getField(field).getLengthDelimitedList()) {
            try {
                UnknownFieldSet report = UnknownFieldSet.parseFrom(message);
                List<ByteString> services = report.getField(SERVICE_FIELD).getLengthDelimitedList();
                Checks.inRange(services.size(), 1, 1, "number of services");
                List<Totals> totals = decode(report);
                WorkLedger ledger = fairAdmission.ledger(services.get(0).toStringUtf8());
                totals.forEach(entry -> ledger.updatePeer(peer, entry, nowMillis));
            } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
                fairAdmission.recordMalformedReport();
            }
        }
    }

    private static List<Totals> decode(UnknownFieldSet report) {
        List<Integer> customers = report.getField(CUSTOMERS_FIELD).getFixed32List();
        List<Long> ranks = report.getField(RANKS_FIELD).getVarintList();
        List<Long> demanded = report.getField(DEMANDED_FIELD).getVarintList();
        List<Long> served = report.getField(SERVED_FIELD).getVarintList();
        int entries = Math.min(
                Math.min(customers.size(), ranks.size()),
                Math.min(WorkLedger.MAX_REPORTED, Math.min(demanded.size(), served.size())));
        List<Totals> totals = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            WorkLedger.Key key = new WorkLedger.Key(customers.get(i), (int) Math.min(Integer.MAX_VALUE, ranks.get(i)));
            totals.add(new Totals(key, demanded.get(i), served.get(i)));
        }
        return totals;
    }
}
