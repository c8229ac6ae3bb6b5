package org.lovagethread.supplier.trace;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.lovagethread.core.CoreSettings;
import org.lovagethread.core.call.AttemptOutcome;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.call.CallRequest;
import org.lovagethread.core.event.Event;
import org.lovagethread.core.store.Claim;
import org.lovagethread.core.store.ClaimState;
import org.lovagethread.core.store.StoreStatus;
import org.lovagethread.core.store.StoredAnswer;
import org.lovagethread.core.trace.TraceEntry;

/** Tests {@link TraceFormat}. */
class TraceFormatTest {
    private static final CoreSettings SETTINGS =
            CoreSettings.builder("node-1").address("127.0.0.1:1").seed(5).build();

    @Test
    void readsWrittenTraces() {
        StoredAnswer answer = new StoredAnswer(200, "text/plain", "done\n\"quoted\"");
        Claim claim = new Claim("t", "node-1", "d", ClaimState.ANSWERED, Optional.of(answer));
        CallRequest request = CallRequest.builder(3, CallKind.SUBMIT)
                .requestId("r")
                .idempotencyKey(Optional.of("k"))
                .build();
        List<TraceEntry> entries = List.of(
                new TraceEntry(1, new Event.Ticked()),
                new TraceEntry(2, new Event.CallArrived(request)),
                new TraceEntry(3, new Event.ClaimReplied(1, StoreStatus.FOUND, 9, Optional.of(claim))),
                new TraceEntry(4, new Event.AttemptEnded(1, AttemptOutcome.COMPLETE, 0, Optional.of(answer))));
        TraceFormat.Trace trace = TraceFormat.read(TraceFormat.write(TraceFormat.Header.of(SETTINGS), entries))
                .get();
        assertThat(trace.entries()).isEqualTo(entries);
        assertThat(trace.header().toSettings().seed()).isEqualTo(5);
    }

    @Test
    void reportsTheLineOfAnError() {
        String text = TraceFormat.write(TraceFormat.Header.of(SETTINGS), List.of()) + "not json\n";
        assertThat(TraceFormat.read(text).getLeft()).startsWith("line 2: ");
    }

    @Property(tries = 300, seed = "9")
    void neverThrowsOnAnyText(@ForAll String text) {
        assertThatCode(() -> TraceFormat.read(text)).doesNotThrowAnyException();
    }
}
