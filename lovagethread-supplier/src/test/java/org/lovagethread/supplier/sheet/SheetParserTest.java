package org.lovagethread.supplier.sheet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lovagethread.core.config.ServiceKind;

/** Tests {@link SheetParser}. */
class SheetParserTest {
    private static final String HEADER = String.join(",", SheetParser.COLUMNS) + "\n";
    private static final String VALID = HEADER
            + "service,assistant,,model,highland-8b,3,790,63,yes,,,\n"
            + "service,pond-desk,,plain,,,500,,,,,\n"
            + "customer,harar,,,,,,,,40,4,\n"
            + "class,question,assistant,,,,,,,,,9\n";

    private static Either<List<SheetError>, Sheet> parse(String text) {
        return SheetParser.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String onlyError(String text) {
        List<SheetError> errors = parse(text).getLeft();
        assertThat(errors).hasSize(1);
        return errors.get(0).describe("sheet.csv");
    }

    @Nested
    class WhenValid {
        @Test
        void readsEveryRecord() {
            Sheet sheet = parse(VALID).get();
            assertThat(sheet.services())
                    .extracting(service -> service.kind())
                    .containsExactly(ServiceKind.MODEL, ServiceKind.PLAIN);
            assertThat(sheet.customers())
                    .extracting(customer -> customer.weight())
                    .containsExactly(4);
            assertThat(sheet.toConfiguration(7).priority("assistant", "question"))
                    .isEqualTo(9);
        }

        @Test
        void acceptsSpreadsheetExports() {
            String exported =
                    "\uFEFF" + VALID.replace("\n", "\r\n").replace("harar", "\"harar\"") + ",,,,,,,,,,,\r\n\r\n";
            assertThat(parse(exported).isRight()).isTrue();
        }
    }

    @Nested
    class WhenInvalid {
        @Test
        void reportsLineColumnValueAndRange() {
            assertThat(onlyError(VALID.replace(",40,4,", ",40,heavy,")))
                    .isEqualTo("sheet.csv:4: weight: invalid value \"heavy\", expected an integer from 1 to 1000");
        }

        @Test
        void rejectsAnUnknownColumn() {
            assertThat(onlyError(VALID.replace("priority", "prio"))).startsWith("sheet.csv:1: prio: unknown column");
        }

        @Test
        void rejectsAnUnknownRecordType() {
            assertThat(onlyError(VALID + "server,x,,,,,,,,,,\n")).contains("record: invalid value \"server\"");
        }

        @Test
        void rejectsADuplicateName() {
            assertThat(onlyError(VALID + "customer,harar,,,,,,,,10,1,\n")).contains("duplicate name \"harar\"");
        }

        @Test
        void rejectsAClassOfAnUnknownService() {
            assertThat(onlyError(VALID + "class,tag,nowhere,,,,,,,,,1\n")).contains("unknown service \"nowhere\"");
        }

        @Test
        void rejectsEmptyAndBinaryInput() {
            assertThat(parse("").isLeft()).isTrue();
            assertThat(SheetParser.parse(new byte[] {(byte) 0xC3, 0x28}).isLeft())
                    .isTrue();
        }
    }

    @Property(tries = 500, seed = "7")
    void neverThrowsOnAnyBytes(@ForAll byte[] bytes) {
        assertThatCode(() -> SheetParser.parse(bytes)).doesNotThrowAnyException();
    }

    @Property(tries = 500, seed = "8")
    void neverThrowsOnACorruptSheet(@ForAll int position, @ForAll byte value) {
        byte[] bytes = VALID.getBytes(StandardCharsets.UTF_8);
        bytes[Math.floorMod(position, bytes.length)] = value;
        assertThatCode(() -> SheetParser.parse(bytes)).doesNotThrowAnyException();
    }
}
