package org.lovagethread.gateway.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * Parts of a prompt in order. All parts but the last may be shared with other requests.
 *
 * @param parts the parts
 */
public record PromptPrefix(List<Part> parts) {
    /** A prompt whose parts are unknown. */
    public static final PromptPrefix NONE = new PromptPrefix(List.of());

    /** Creates a prefix from a copy of the list. */
    public PromptPrefix {
        parts = List.copyOf(parts);
    }

    /**
     * A part of a prompt.
     *
     * @param id the identifier of the content
     * @param tokens the length in tokens
     */
    public record Part(String id, int tokens) {}

    /**
     * Parses a list of parts in the form {@code ID:TOKENS,ID:TOKENS}.
     *
     * @param text the text to parse, may be null
     * @return the parts, or {@link #NONE} if the text is null, blank or malformed
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
     * Returns the parts that may be shared with other requests.
     *
     * @return all parts but the last
     */
    public List<Part> sharedParts() {
        return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
    }

    /**
     * Returns the identifier of the last shared part.
     *
     * @return the identifier, or an empty string if no part is shared
     */
    public String lastSharedId() {
        return parts.size() < 2 ? "" : parts.get(parts.size() - 2).id();
    }

    /**
     * Returns the total length of the shared parts.
     *
     * @return the number of tokens of all parts but the last
     */
    public long sharedTokens() {
        long tokens = 0;
        for (Part part : sharedParts()) {
            tokens += part.tokens();
        }
        return tokens;
    }
}
