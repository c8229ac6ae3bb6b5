package org.lovagethread.core.call;

/** Lists the ways to treat a stream whose upstream is leaving. */
public enum ReclaimPolicy {
    /** Finishes in place what should end in time; moves the rest with its KV cache if there is time to export it. */
    CHOOSE {
        @Override
        Move decide(boolean endsInTime, boolean exportable) {
            if (endsInTime) {
                return Move.STAY;
            }
            return exportable ? Move.EXPORT : Move.RECOMPUTE;
        }
    },
    /** Moves every stream at once with its KV cache, if there is time to export it. */
    ALWAYS_EXPORT {
        @Override
        Move decide(boolean endsInTime, boolean exportable) {
            return exportable ? Move.EXPORT : Move.RECOMPUTE;
        }
    },
    /** Moves every stream at once and has the next engine process all tokens again. */
    ALWAYS_RECOMPUTE {
        @Override
        Move decide(boolean endsInTime, boolean exportable) {
            return Move.RECOMPUTE;
        }
    };

    /** Lists what can be done with one stream. */
    enum Move {
        /** Leaves the stream where it is. */
        STAY,
        /** Starts another attempt that imports the KV cache. */
        EXPORT,
        /** Starts another attempt that processes the tokens again. */
        RECOMPUTE
    }

    /**
     * Decides for one stream.
     *
     * @param endsInTime whether the stream should end before the deadline by its own pace
     * @param exportable whether there is a cache, and time to export it
     * @return what to do
     */
    abstract Move decide(boolean endsInTime, boolean exportable);
}
