package org.lovagethread.gateway.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * The parts of a prompt, in order; the last part belongs to the request alone.
 *
 * @param parts the parts
 */
public record PromptPrefix(List<Part> parts) {
    /** A prompt of which nothing is known. */
    public static final PromptPrefix NONE = new PromptPrefix(List.of());

    /** Copies the parts. */
    public PromptPrefix {
        parts = List.copyOf(parts);
    }

    /**
     * One part of a prompt.
     *
     * @param id identifies the content
     * @param tokens the length in tokens
     */
    public record Part(String id, int tokens) {}

    /**
     * Reads parts written as {@code ID:TOKENS,ID:TOKENS}.
     *
     * @param text the text; null is allowed
     * @return the parts, or {@link #NONE} if the text is null or malformed
     */
    public static PromptPrefix parse(String text) {
        if (text == null || text.isBlank()) {
            return NONE;
        }
        List<Part> parts = new ArrayList<>();
        for (String entry : text.split(",", -1)) {
            int colon = entry.indexOf(':');
            if (colon <= 0) {
                return NONE;
            }
            try {
                parts.add(new Part(
                        entry.substring(0, colon).strip(),
                        Integer.parseInt(entry.substring(colon + 1).strip())));
            } catch (NumberFormatException e) {
                return NONE;
            }
        }
        return new PromptPrefix(parts);
    }

    /**
     * Returns the id of the last part that other requests share.
     *
     * @return the id, or an empty text if no part is shared
     */
    public String subject() {
        return parts.size() < 2 ? "" : parts.get(parts.size() - 2).id();
    }

    /**
     * Returns the length of the parts that other requests share.
     *
     * @return the tokens of all parts but the last
     */
    public long sharedTokens() {
        long tokens = 0;
        for (int i = 0; i < parts.size() - 1; i++) {
            tokens += parts.get(i).tokens();
        }
        return tokens;
    }
}
