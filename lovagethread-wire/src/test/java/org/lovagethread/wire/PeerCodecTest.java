package org.lovagethread.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.call.CallRequest;
import org.lovagethread.core.member.LeavingUpstream;
import org.lovagethread.core.member.PeerState;
import org.lovagethread.core.upstream.UpstreamLoad;
import org.lovagethread.wire.generated.Frame;

/** Tests {@link PeerCodec}. */
class PeerCodecTest {

    static Stream<PeerMessage> messages() {
        PeerState state = new PeerState(
                "node-1",
                5,
                6,
                "h:1",
                "h:2",
                "zone-a",
                true,
                7,
                List.of(new UpstreamLoad("u", 2)),
                List.of(new LeavingUpstream("u", 99)));
        CallRequest request = CallRequest.builder(0, CallKind.GENERATE)
                .requestId("r")
                .customer("c")
                .service("s")
                .className("k")
                .bodyDigest("d")
                .prefixKey("p")
                .promptTokens(1)
                .maxTokens(2)
                .fromChunk(3)
                .deadlineMillis(4)
                .build();
        return Stream.of(
                new PeerMessage.Heartbeat(state),
                new PeerMessage.ConfigurationRequest(3),
                new PeerMessage.ConfigurationOffer(4, "digest", "a,b\n"),
                new PeerMessage.HandOver(8, request, "{}", List.of("one", "two")),
                new PeerMessage.HandOverReply(8, true));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void decodesEncodedMessages(PeerMessage message) {
        assertThat(PeerCodec.decode(PeerCodec.encode(message))).contains(message);
    }

    @Property(tries = 1_000, seed = "11")
    void rejectsInvalidBytesWithADeclaredException(@ForAll byte[] bytes) {
        try {
            PeerCodec.decode(Frame.parseFrom(bytes));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            assertThat(e).hasMessageMatching("(?s).+");
        }
    }
}
