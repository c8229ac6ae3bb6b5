package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lovagethread.gateway.policy.FairAdmission;
import org.lovagethread.gateway.policy.WorkLedger;
import org.lovagethread.wire.generated.GatewayState;

class WorkReportCodecTest {
    private static final int MAX_REPORT_BYTES = 1_000;

    private final FairAdmission sender = new FairAdmission(() -> 0);
    private final FairAdmission receiver = new FairAdmission(() -> 0);

    private GatewayState state() {
        return GatewayState.newBuilder()
                .setNode("n")
                .mergeUnknownFields(
                        WorkReportCodec.encode(sender, WorkReportCodec.GATEWAY_FIELD, ledger -> ledger.localTotals(0)))
                .build();
    }

    private void receive(UnknownFieldSet fields) {
        WorkReportCodec.applyPeer(fields, WorkReportCodec.GATEWAY_FIELD, "n#1", receiver, 0);
    }

    @Test
    void reportsAreReadAsWritten() throws InvalidProtocolBufferException {
        WorkLedger.Key key = WorkLedger.Key.of("a", 2, 1);
        sender.ledger("pool").recordDemand(key, 1, 0);
        receive(GatewayState.parseFrom(state().toByteArray()).getUnknownFields());
        sender.ledger("pool").recordDemand(key, 4_000, 0);
        sender.ledger("pool").recordServed(key, 2_000, 0);
        receive(GatewayState.parseFrom(state().toByteArray()).getUnknownFields());
        assertThat(receiver.ledger("pool").rates(0)).containsExactly(new WorkLedger.Rates(key, 2, 1));
        assertThat(receiver.malformedReports()).isZero();
    }

    @Test
    void reportsOfManyCustomersAreBounded() {
        int empty = state().getSerializedSize();
        for (int i = 0; i < 1_000; i++) {
            sender.ledger("pool").recordDemand(WorkLedger.Key.of("c" + i, 0, 0), 1_000_000_000, 0);
        }
        assertThat(state().getSerializedSize() - empty).isLessThan(MAX_REPORT_BYTES);
    }

    /** Guards against a report that is applied in part, or that stops the processing of the state. */
    @Test
    void malformedReportsAreCountedAndChangeNothing() {
        UnknownFieldSet invalidRank = UnknownFieldSet.newBuilder()
                .addField(
                        1,
                        field().addLengthDelimited(ByteString.copyFromUtf8("pool"))
                                .build())
                .addField(2, field().addFixed32(1).addFixed32(2).build())
                .addField(3, field().addVarint(0).addVarint(1_000).build())
                .addField(4, field().addVarint(5).addVarint(5).build())
                .addField(5, field().addVarint(5).addVarint(-5).build())
                .build();
        for (ByteString report : List.of(ByteString.copyFromUtf8("\u0007x"), invalidRank.toByteString())) {
            receive(UnknownFieldSet.newBuilder()
                    .addField(
                            WorkReportCodec.GATEWAY_FIELD,
                            field().addLengthDelimited(report).build())
                    .build());
        }
        assertThat(receiver.malformedReports()).isEqualTo(2);
        assertThat(receiver.ledger("pool").rates(0)).isEmpty();
    }

    private static UnknownFieldSet.Field.Builder field() {
        return UnknownFieldSet.Field.newBuilder();
    }
}
