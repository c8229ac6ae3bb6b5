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
        void parsesValidCall() {
            CallRequest request = parser(VALID, CallParser.LAST_CHUNK_HEADER, "4")
                    .parseGenerate(1, "{\"prompt\":\"how deep\",\"maxTokens\":8}")
                    .get();
            assertThat(request.kind()).isEqualTo(CallKind.GENERATE);
            assertThat(request.fromChunk()).isEqualTo(4);
            assertThat(request.deadlineMillis()).isEqualTo(99);
        }

        @Test
        void errorNamesInvalidField() {
            CallParser parser = parser(VALID, "", "");
            assertThat(parser.parseGenerate(1, "[").getLeft()).startsWith("body: ");
            assertThat(parser.parseGenerate(1, "{}").getLeft()).startsWith("body.prompt: ");
            assertThat(parser.parseGenerate(1, "{\"prompt\":\"x\",\"maxTokens\":0}")
                            .getLeft())
                    .startsWith("body.maxTokens: ");
        }
    }

    @Nested
    class Plain {
        @Test
        void parsesPostAsSubmission() {
            CallRequest request = parser(VALID, CallParser.KEY_HEADER, "k-1")
                    .parsePlain(1, "POST", "bookings", "{}")
                    .get();
            assertThat(request.kind()).isEqualTo(CallKind.SUBMIT);
            assertThat(request.idempotencyKey()).contains("k-1");
        }

        @Test
        void rejectsPathTraversal() {
            assertThat(parser(VALID, "", "").parsePlain(1, "GET", "a/../b", "").getLeft())
                    .startsWith("path: ");
        }

        @Test
        void digestDependsOnBodyAndTarget() {
            CallParser parser = parser(VALID, CallParser.KEY_HEADER, "k-1");
            String digest = parser.parsePlain(1, "POST", "bookings", "{}").get().bodyDigest();
            assertThat(parser.parsePlain(1, "POST", "bookings", "{ }").get().bodyDigest())
                    .isNotEqualTo(digest);
            assertThat(parser.parsePlain(1, "POST", "cancels", "{}").get().bodyDigest())
                    .isNotEqualTo(digest);
        }
    }

    @Property(tries = 500, seed = "13")
    void neverThrowsOnArbitraryHeadersAndBodies(@ForAll String value, @ForAll String body) {
        for (String name : new String[] {
            CallParser.REQUEST_HEADER, CallParser.CUSTOMER_HEADER, CallParser.DEADLINE_HEADER, CallParser.KEY_HEADER
        }) {
            assertThatCode(() -> {
                        Either<String, CallRequest> generateResult =
                                parser(VALID, name, value).parseGenerate(1, body);
                        Either<String, CallRequest> plainResult =
                                parser(VALID, name, value).parsePlain(1, "POST", value, body);
                        assertThat(generateResult).isNotNull();
                        assertThat(plainResult).isNotNull();
                    })
                    .doesNotThrowAnyException();
        }
    }
}
