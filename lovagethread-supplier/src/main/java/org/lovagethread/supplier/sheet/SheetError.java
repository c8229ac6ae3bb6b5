package org.lovagethread.supplier.sheet;

/**
 * Error in a configuration sheet.
 *
 * @param line the line number, starting at 1
 * @param column the name of the column, or an empty string if the error concerns the whole line
 * @param message the invalid value and the values that are expected
 */
public record SheetError(long line, String column, String message) {

    /**
     * Returns the error as one line of text.
     *
     * @param file the name of the file
     * @return the text, for example {@code sheet.csv:3: weight: invalid value "x", expected an integer from 1 to 1000}
     */
    public String describe(String file) {
        String location = column.isEmpty() ? "" : column + ": ";
        return file + ":" + line + ": " + location + message;
    }
}
