package org.lovagethread.core.call;

/** Policy for streams whose upstream is leaving. */
public enum ReclaimPolicy {
    /** Lets streams that should end in time finish in place; moves the others, with the KV cache if time permits. */
    CHOOSE {
        @Override
        Action selectAction(boolean endsInTime, boolean exportable) {
            if (endsInTime) {
                return Action.FINISH_IN_PLACE;
            }
            return exportable ? Action.EXPORT : Action.RECOMPUTE;
        }
    },
    /** Moves every stream immediately, with its KV cache if there is time to export it. */
    ALWAYS_EXPORT {
        @Override
        Action selectAction(boolean endsInTime, boolean exportable) {
            return exportable ? Action.EXPORT : Action.RECOMPUTE;
        }
    },
    /** Moves every stream immediately; the new engine recomputes all tokens. */
    ALWAYS_RECOMPUTE {
        @Override
        Action selectAction(boolean endsInTime, boolean exportable) {
            return Action.RECOMPUTE;
        }
    };

    /** Action taken for a stream. */
    enum Action {
        /** Lets the stream finish on its current upstream. */
        FINISH_IN_PLACE,
        /** Starts another attempt that imports the KV cache. */
        EXPORT,
        /** Starts another attempt that recomputes the tokens. */
        RECOMPUTE
    }

    /**
     * Selects the action for a stream.
     *
     * @param endsInTime whether the stream is expected to end before the deadline
     * @param exportable whether a KV cache exists and there is enough time to export it
     * @return the action
     */
    abstract Action selectAction(boolean endsInTime, boolean exportable);
}
