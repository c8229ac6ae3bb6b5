package org.lovagethread.node.caller;

/** Lists what can come of adding a chunk to a stream. */
public enum ChunkResult {
    /** The chunk is the next one and was added. */
    ADDED,
    /** The chunk is there already, from an earlier attempt. */
    DUPLICATE,
    /** Chunks before this one are missing, or the stream is too large; nothing was added. */
    REJECTED
}
