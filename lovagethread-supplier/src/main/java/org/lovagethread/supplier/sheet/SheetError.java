package org.lovagethread.supplier.sheet;

/**
 * Describes one mistake in a sheet.
 *
 * @param line the line, from 1
 * @param column the name of the column, or an empty text for the whole line
 * @param message what was found and what is allowed
 */
public record SheetError(long line, String column, String message) {

    /**
     * Returns the mistake in one line for people.
     *
     * @param file the name of the file
     * @return for example {@code sheet.csv:3: weight: found "x", allowed 1 to 1000}
     */
    public String describe(String file) {
        String place = column.isEmpty() ? "" : column + ": ";
        return file + ":" + line + ": " + place + message;
    }
}
