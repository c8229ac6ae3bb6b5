package org.lovagethread.gateway.upstream;

/**
 * What a response says about how many rejections in a second its upstream survives.
 *
 * @param form the form of the statement
 * @param maxRejections the stated number; zero unless the form is {@link Form#STATED}
 */
public record BrittleNotice(Form form, int maxRejections) {
    /** A response without a statement. */
    public static final BrittleNotice NONE = new BrittleNotice(Form.NONE, 0);

    /** A response whose statement is not one number, or a number out of range. */
    public static final BrittleNotice MALFORMED = new BrittleNotice(Form.MALFORMED, 0);

    /** Forms of a statement. */
    public enum Form {
        /** The response contains no statement. */
        NONE,
        /** The upstream states a number. */
        STATED,
        /** The upstream states something that is not understood; it counts as brittle. */
        MALFORMED
    }

    /**
     * Creates the notice of an upstream that states a number.
     *
     * @param maxRejections the number of rejections in a second beyond which it falls over; must not be negative
     * @return the notice
     */
    public static BrittleNotice stated(int maxRejections) {
        return new BrittleNotice(Form.STATED, maxRejections);
    }
}
