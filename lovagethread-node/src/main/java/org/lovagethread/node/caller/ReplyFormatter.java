package org.lovagethread.node.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.lovagethread.core.error.ErrorKind;
import org.lovagethread.supplier.Json;

/** Formats the JSON lines that the node itself sends to callers. */
final class ReplyFormatter {

    private ReplyFormatter() {}

    static String chunkLine(int number, String text) {
        return write(Json.mapper().createObjectNode().put("chunk", number).put("text", text));
    }

    static String endLine(int chunks) {
        return write(Json.mapper().createObjectNode().put("end", true).put("chunks", chunks));
    }

    /** Formats a refusal, which is either the body of a response or the last line of a stream. */
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
            throw new IllegalStateException("cannot serialize the reply as JSON", e);
        }
    }
}
