package org.lovagethread.node.caller;

/** The result of adding a chunk to a stream. */
public enum ChunkResult {
    /** The chunk was the next in order and was added. */
    ADDED,
    /** The stream already contains the chunk, or the attempt may no longer add to the stream. Nothing was added. */
    DUPLICATE,
    /** An earlier chunk is missing, or the stream is too large. Nothing was added. */
    REJECTED
}
