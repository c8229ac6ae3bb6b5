package org.lovagethread.core;

import java.util.Objects;

/** Argument checks whose messages name the argument and the invalid value. */
public final class Checks {

    private Checks() {}

    /**
     * Checks that a string contains at least one non-whitespace character.
     *
     * @param text the string to check
     * @param name the name of the argument, used in the message
     * @return {@code text}
     * @throws NullPointerException if {@code text} is null
     * @throws IllegalArgumentException if {@code text} is blank
     */
    public static String notBlank(String text, String name) {
        Objects.requireNonNull(text, name);
        if (text.isBlank()) {
            throw new IllegalArgumentException(name + " must not be blank");
        }
        return text;
    }

    /**
     * Checks that a value lies within a closed range.
     *
     * @param value the value to check
     * @param min the smallest allowed value
     * @param max the largest allowed value
     * @param name the name of the argument, used in the message
     * @return {@code value}
     * @throws IllegalArgumentException if {@code value} is outside the range
     */
    public static long inRange(long value, long min, long max, String name) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(name + " must be between " + min + " and " + max + " but was " + value);
        }
        return value;
    }
}
