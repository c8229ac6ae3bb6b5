package org.lovagethread.core;

import java.util.Objects;

/** Validates arguments with messages that name the argument and the value found. */
public final class Checks {

    private Checks() {}

    /**
     * Returns the text when it holds at least one character that is not white space.
     *
     * @param text the text to check
     * @param name the name of the argument, for the message
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
     * Returns the value when it lies in a closed range.
     *
     * @param value the value to check
     * @param least the smallest value allowed
     * @param most the largest value allowed
     * @param name the name of the argument, for the message
     * @return {@code value}
     * @throws IllegalArgumentException if {@code value} lies outside the range
     */
    public static long inRange(long value, long least, long most, String name) {
        if (value < least || value > most) {
            throw new IllegalArgumentException(
                    name + " must be between " + least + " and " + most + " but was " + value);
        }
        return value;
    }
}
