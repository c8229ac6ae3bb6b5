package org.lovagethread.node.telemetry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import org.lovagethread.supplier.Json;

/** Formats each log record as one line of JSON. */
public final class JsonLogFormatter extends Formatter {
    private final String nodeName;

    /**
     * Creates a formatter.
     *
     * @param nodeName the name of the node, which is part of each line
     */
    public JsonLogFormatter(String nodeName) {
        this.nodeName = nodeName;
    }

    @Override
    public String format(LogRecord record) {
        String message = formatMessage(record);
        int space = message.indexOf(' ');
        ObjectNode line = Json.mapper()
                .createObjectNode()
                .put("at", record.getInstant().toString())
                .put("level", record.getLevel().getName())
                .put("node", nodeName)
                .put("event", space < 0 ? message : message.substring(0, space))
                .put("detail", space < 0 ? "" : message.substring(space + 1))
                .put("logger", record.getLoggerName());
        if (record.getThrown() != null) {
            StringWriter stackTrace = new StringWriter();
            record.getThrown().printStackTrace(new PrintWriter(stackTrace, true));
            line.put("trace", stackTrace.toString());
        }
        try {
            return Json.mapper().writeValueAsString(line) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize the log record as JSON", e);
        }
    }
}
