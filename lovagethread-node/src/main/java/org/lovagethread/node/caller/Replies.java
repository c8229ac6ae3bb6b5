package org.lovagethread.node.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.supplier.Json;

/** Writes the JSON texts that callers receive from the node itself. */
final class Replies {

    private Replies() {}

    static String chunkLine(int number, String text) {
        return write(Json.mapper().createObjectNode().put("chunk", number).put("text", text));
    }

    static String endLine(int chunks) {
        return write(Json.mapper().createObjectNode().put("end", true).put("chunks", chunks));
    }

    /** Returns the text for a refusal; it is the body of an answer or the last line of a stream. */
    static String errorLine(ErrorKind kind, long retryAtMillis) {
        ObjectNode node = Json.mapper()
                .createObjectNode()
                .put("error", kind.label())
                .put("run", kind.runState().label())
                .put("message", kind.message());
        if (retryAtMillis > 0) {
            node.put("retryAtMillis", retryAtMillis);
        }
        return write(node);
    }

    static String movedLine(String address) {
        return write(Json.mapper().createObjectNode().put("moved", address));
    }

    private static String write(ObjectNode node) {
        try {
            return Json.mapper().writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a reply cannot be written as JSON", e);
        }
    }
}
