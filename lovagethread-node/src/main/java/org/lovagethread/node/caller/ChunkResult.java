package org.lovagethread.node.caller;

/** Lists what can come of adding a chunk to a stream. */
public enum ChunkResult {
    /** The chunk is the next one and was added. */
    ADDED,
    /** The chunk is there already, or comes from an attempt that may not add to the stream any more. */
    DUPLICATE,
    /** Chunks before this one are missing, or the stream is too large; nothing was added. */
    REJECTED
}
