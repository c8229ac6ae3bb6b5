package org.lovagethread.node.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.vavr.control.Either;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.core.call.CallKind;
import org.lovagethread.core.call.CallRequest;
import ratpack.http.internal.NettyHeadersBackedHeaders;

/** Tests {@link CallParser}. */
class CallParserTest {
    private static final Map<String, String> VALID =
            Map.of(CallParser.REQUEST_HEADER, "r-1", CallParser.CUSTOMER_HEADER, "harar");

    private static CallParser parser(Map<String, String> base, String name, String value) {
        DefaultHttpHeaders headers = new DefaultHttpHeaders(false);
        base.forEach(headers::set);
        if (!name.isEmpty()) {
            headers.set(name, value);
        }
        return new CallParser(new NettyHeadersBackedHeaders(headers), "assistant", 99);
    }

    @Nested
    class Generate {
        @Test
        void readsAValidCall() {
            CallRequest request = parser(VALID, CallParser.LAST_CHUNK_HEADER, "4")
                    .generate(1, "{\"prompt\":\"how deep\",\"maxTokens\":8}")
                    .get();
            assertThat(request.kind()).isEqualTo(CallKind.GENERATE);
            assertThat(request.fromChunk()).isEqualTo(4);
            assertThat(request.deadlineMillis()).isEqualTo(99);
        }

        @Test
        void namesTheFieldThatIsWrong() {
            CallParser parser = parser(VALID, "", "");
            assertThat(parser.generate(1, "[").getLeft()).startsWith("body: ");
            assertThat(parser.generate(1, "{}").getLeft()).startsWith("body.prompt: ");
            assertThat(parser.generate(1, "{\"prompt\":\"x\",\"maxTokens\":0}").getLeft())
                    .startsWith("body.maxTokens: ");
        }
    }

    @Nested
    class Plain {
        @Test
        void takesAPostForASubmission() {
            CallRequest request = parser(VALID, CallParser.KEY_HEADER, "k-1")
                    .plain(1, "POST", "bookings", "{}")
                    .get();
            assertThat(request.kind()).isEqualTo(CallKind.SUBMIT);
            assertThat(request.idempotencyKey()).contains("k-1");
        }

        @Test
        void refusesPathsThatLeaveTheService() {
            assertThat(parser(VALID, "", "").plain(1, "GET", "a/../b", "").getLeft())
                    .startsWith("path: ");
        }

        @Test
        void givesBodiesAndTargetsDistinctDigests() {
            CallParser parser = parser(VALID, CallParser.KEY_HEADER, "k-1");
            String digest = parser.plain(1, "POST", "bookings", "{}").get().bodyDigest();
            assertThat(parser.plain(1, "POST", "bookings", "{ }").get().bodyDigest())
                    .isNotEqualTo(digest);
            assertThat(parser.plain(1, "POST", "cancels", "{}").get().bodyDigest())
                    .isNotEqualTo(digest);
        }
    }

    @Property(tries = 500, seed = "13")
    void neverThrowsOnAnyHeaderOrBody(@ForAll String value, @ForAll String body) {
        for (String name : new String[] {
            CallParser.REQUEST_HEADER, CallParser.CUSTOMER_HEADER, CallParser.DEADLINE_HEADER, CallParser.KEY_HEADER
        }) {
            assertThatCode(() -> {
                        Either<String, CallRequest> model =
                                parser(VALID, name, value).generate(1, body);
                        Either<String, CallRequest> plain =
                                parser(VALID, name, value).plain(1, "POST", value, body);
                        assertThat(model).isNotNull();
                        assertThat(plain).isNotNull();
                    })
                    .doesNotThrowAnyException();
        }
    }
}
