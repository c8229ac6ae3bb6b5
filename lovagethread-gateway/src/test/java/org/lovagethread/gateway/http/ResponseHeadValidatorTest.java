package org.lovagethread.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseHeadValidatorTest {
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final int LINE_FEED = 10;

    private final ResponseHeadValidator validator = new ResponseHeadValidator();

    private Optional<String> findDefect(String lines) {
        return validator.findDefect(Unpooled.copiedBuffer(lines, StandardCharsets.ISO_8859_1));
    }

    private boolean accepts(String head) {
        validator.reset();
        return findDefect(head).isEmpty();
    }

    private static IntStream bytes() {
        return IntStream.range(0, 256).filter(next -> next != LINE_FEED);
    }

    @Nested
    class StatusLines {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK\r\n",
                    "HTTP/1.1 200 OK\n",
                    "HTTP/1.1 200 \r\n",
                    "HTTP/1.1 200\r\n",
                    "HTTP/1.0 100 Continue\r\n",
                    "HTTP/1.1 599 caf\u00e9\tx\r\n"
                })
        void areAccepted(String line) {
            assertThat(accepts(line)).isTrue();
        }

        // An answer with status 000 was passed on to the caller.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "000",
                    "00",
                    "0",
                    "20",
                    "2000",
                    "099",
                    "600",
                    "999",
                    "+200",
                    "-200",
                    "2x0",
                    "0x2",
                    " 200",
                    "\t200",
                    "101",
                    "\u0662\u0660\u0660"
                })
        void areRejectedWithAnotherStatus(String status) {
            assertThat(accepts("HTTP/1.1 " + status + " OK\r\n")).isFalse();
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "\r\n",
                    "\n",
                    " HTTP/1.1 200 OK\r\n",
                    "\r\nHTTP/1.1 200 OK\r\n",
                    "\0HTTP/1.1 200 OK\r\n",
                    "http/1.1 200 OK\r\n",
                    "HTTP/1.2 200 OK\r\n",
                    "HTTP/2.0 200 OK\r\n",
                    "HTTP/1.1\t200 OK\r\n",
                    "HTTP/1.1  200 OK\r\n",
                    "HTTP/1.1 200OK\r\n",
                    "HTTP/1.1 503 BuHTTP/1.1 200 OK\r\n",
                    "HTTP/1.1 5HTTP/1.1 200 OK\r\n",
                    "Content-Length: 0\r\n"
                })
        void areRejectedInAnotherForm(String line) {
            assertThat(accepts(line + "Content-Length: 0\r\n")).isFalse();
        }
    }

    @Nested
    class Fields {
        private boolean acceptsField(String line) {
            return accepts("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n");
        }

        private static IntStream bytes() {
            return ResponseHeadValidatorTest.bytes();
        }

        // A field whose name held a blank was passed on under the part before it, or gave the body another length.
        @ParameterizedTest
        @MethodSource("bytes")
        void haveNamesOfTokenCharacters(int next) {
            char c = (char) next;
            boolean isToken = c < 128 && (Character.isLetterOrDigit(c) || TOKEN_SYMBOLS.indexOf(c) >= 0);
            assertThat(acceptsField("a" + c + "b: 1")).isEqualTo(isToken || c == ':');
            assertThat(acceptsField(c + "b: 1")).isEqualTo(isToken);
            assertThat(acceptsField("a" + c + ": 1")).isEqualTo(isToken || c == ':');
        }

        @ParameterizedTest
        @MethodSource("bytes")
        void haveValuesWithoutControlCharacters(int next) {
            boolean isValue = next == '\t' || (next >= ' ' && next != 0x7f);
            assertThat(acceptsField("a: b" + (char) next + "c")).isEqualTo(isValue);
        }

        @ParameterizedTest
        @ValueSource(strings = {"a", ": b", "a : b", " a: b", "\ta: b", "a: b\r\n c", "a: b\rc: d", "a:\r\r\n"})
        void areRejectedInAnotherForm(String line) {
            assertThat(acceptsField(line)).isFalse();
        }

        @ParameterizedTest
        @ValueSource(strings = {"a:", "a:b", "a: b\nc: d", "Via: HTTP/1.1 203.0.113.9"})
        void areAccepted(String line) {
            assertThat(acceptsField(line)).isTrue();
        }

        @Test
        void areRejectedIfTheyContainAnotherStatusLine() {
            assertThat(acceptsField("a: HTTP/1.1 200 OK")).isFalse();
            assertThat(acceptsField("a: HTTP/ HTTP/1.1 200")).isFalse();
        }
    }

    @Nested
    class HeadsInParts {
        @Test
        void areCheckedLineByLine() {
            validator.reset();
            assertThat(findDefect("HTTP/1.1 200 OK\r\n")).isEmpty();
            assertThat(findDefect("")).isEmpty();
            assertThat(findDefect("a: b\r\n")).isEmpty();
            assertThat(findDefect("c d: e\r\n"))
                    .hasValueSatisfying(reason -> assertThat(reason).contains("field"));
        }

        @Test
        void beginWithAStatusLineAgainAfterAReset() {
            assertThat(accepts("HTTP/1.1 200 OK\r\n\r\n")).isTrue();
            assertThat(accepts("a: b\r\n")).isFalse();
        }
    }
}
