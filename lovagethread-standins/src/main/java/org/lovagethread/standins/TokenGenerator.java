package org.lovagethread.standins;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * Generates the tokens of the responses of {@link Engine}. The tokens depend only on the prompt, so a client can verify
 * them.
 */
public final class TokenGenerator {
    private static final String[] VOCABULARY = {
        "flood", "the", "pond", "at", "dusk", "after", "frost", "then", "wait", "until", "ice", "holds", "and",
        "repeat", "check", "depth", "before", "each", "layer", "of", "water", "freezes"
    };

    private TokenGenerator() {}

    /**
     * Returns a token of the response to a prompt.
     *
     * @param prompt the prompt
     * @param number the position of the token in the response, starting at 1
     * @return the token, with a leading space
     */
    public static String token(String prompt, int number) {
        CRC32 crc = new CRC32();
        crc.update((prompt + '#' + number).getBytes(StandardCharsets.UTF_8));
        return " " + VOCABULARY[(int) (crc.getValue() % VOCABULARY.length)] + Long.toString(crc.getValue() % 97, 36);
    }

    /**
     * Returns the concatenation of the first tokens of the response to a prompt.
     *
     * @param prompt the prompt
     * @param count the number of tokens; zero yields an empty string
     * @return the concatenated tokens
     */
    public static String text(String prompt, int count) {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= count; i++) {
            text.append(token(prompt, i));
        }
        return text.toString();
    }
}
