package org.lovagethread.gateway.log;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/** Builds one line of the log as a JSON object. */
public final class LogLine {
    private final StringBuilder text = new StringBuilder(256);

    /**
     * Starts a line.
     *
     * @param event the kind of event
     */
    public LogLine(String event) {
        text.append('{');
        put("event", event);
    }

    /**
     * Adds a text.
     *
     * @param name the name of the field
     * @param value the text; an empty one is left out
     * @return this line
     */
    public LogLine put(String name, String value) {
        if (!value.isEmpty()) {
            name(name);
            text.append('"');
            JsonStringEncoder.getInstance().quoteAsString(value, text);
            text.append('"');
        }
        return this;
    }

    /**
     * Adds a number.
     *
     * @param name the name of the field
     * @param value the number
     * @return this line
     */
    public LogLine put(String name, long value) {
        name(name);
        text.append(value);
        return this;
    }

    /**
     * Adds a truth value.
     *
     * @param name the name of the field
     * @param value the truth value
     * @return this line
     */
    public LogLine put(String name, boolean value) {
        name(name);
        text.append(value);
        return this;
    }

    /**
     * Returns the whole line.
     *
     * @return a JSON object with a line feed
     */
    public String finish() {
        return text.append("}\n").toString();
    }

    private void name(String name) {
        if (text.length() > 1) {
            text.append(',');
        }
        text.append('"').append(name).append("\":");
    }
}
