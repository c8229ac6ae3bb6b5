package org.lovagethread.standins;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** Makes the text that an engine stand-in answers; the same prompt always gives the same tokens. */
public final class Tokens {
    private static final String[] WORDS = {
        "flood", "the", "pond", "at", "dusk", "after", "frost", "then", "wait", "until", "ice", "holds", "and",
        "repeat", "check", "depth", "before", "each", "layer", "of", "water", "freezes"
    };

    private Tokens() {}

    /**
     * Returns one token.
     *
     * @param prompt the prompt
     * @param number the number of the token, from 1
     * @return the token with a leading space
     */
    public static String token(String prompt, int number) {
        CRC32 crc = new CRC32();
        crc.update((prompt + '#' + number).getBytes(StandardCharsets.UTF_8));
        return " " + WORDS[(int) (crc.getValue() % WORDS.length)] + Long.toString(crc.getValue() % 97, 36);
    }

    /**
     * Returns the first tokens as one text.
     *
     * @param prompt the prompt
     * @param count the number of tokens; zero gives an empty text
     * @return the tokens joined
     */
    public static String text(String prompt, int count) {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= count; i++) {
            text.append(token(prompt, i));
        }
        return text.toString();
    }
}
