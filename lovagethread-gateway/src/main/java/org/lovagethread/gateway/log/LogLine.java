package org.lovagethread.gateway.log;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/** Builder of a log line in the form of a JSON object. */
public final class LogLine {
    private final StringBuilder text = new StringBuilder(256);

    /**
     * Creates a line with an event field.
     *
     * @param event the name of the event
     */
    public LogLine(String event) {
        text.append('{');
        put("event", event);
    }

    /**
     * Adds a string field.
     *
     * @param name the name of the field
     * @param value the string; if it is empty, the field is omitted
     * @return this line
     */
    public LogLine put(String name, String value) {
        if (!value.isEmpty()) {
            appendName(name);
            text.append('"');
            JsonStringEncoder.getInstance().quoteAsString(value, text);
            text.append('"');
        }
        return this;
    }

    /**
     * Adds a number field.
     *
     * @param name the name of the field
     * @param value the number
     * @return this line
     */
    public LogLine put(String name, long value) {
        appendName(name);
        text.append(value);
        return this;
    }

    /**
     * Adds a boolean field.
     *
     * @param name the name of the field
     * @param value the boolean
     * @return this line
     */
    public LogLine put(String name, boolean value) {
        appendName(name);
        text.append(value);
        return this;
    }

    /**
     * Completes the line. No field can be added after this call.
     *
     * @return the JSON object, followed by a line feed
     */
    public String finish() {
        return text.append("}\n").toString();
    }

    private void appendName(String name) {
        if (text.length() > 1) {
            text.append(',');
        }
        text.append('"').append(name).append("\":");
    }
}
