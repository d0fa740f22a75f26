package maplespread.consensus;

/**
 * The result of a change.
 *
 * @param outcome whether it was decided
 * @param value decided: a value that has the change in it, and perhaps later ones; rejected: the value that it does
 *     not fit; no majority: the latest known value, or null
 * @param error why it was not decided; null where it was
 */
public record ChangeResult(Outcome outcome, VersionedValue value, Exception error) {
    /** How a change ended. */
    public enum Outcome {
        /** The value has the change in it. */
        DECIDED,
        /** The change threw an exception when it was applied; the value is unchanged. */
        REJECTED,
        /**
         * Not known to be decided: no majority answered in time, the caller was interrupted, or the change met others for so
         * long that it cannot be traced. It may have been decided, may yet be, or not.
         */
        NO_MAJORITY
    }
}
