package maplespread.consensus;

/**
 * The result of a change.
 *
 * @param outcome whether the change was decided
 * @param value if decided, a value that includes the change and possibly later ones; if rejected, the value to which
 *     the change does not apply; without a majority, the latest known value, or null
 * @param error the reason why the change was not decided; null if it was
 */
public record ChangeResult(Outcome outcome, VersionedValue value, Exception error) {
    /** The outcome of a change. */
    public enum Outcome {
        /** The value includes the change. */
        DECIDED,
        /** The change threw an exception when it was applied; the value is unchanged. */
        REJECTED,
        /**
         * The change is not known to be decided: no majority answered in time, the caller was interrupted, or so many
         * other changes were decided meanwhile that the value need not list this one any more. The change may have been
         * decided, may still be decided later, or never.
         */
        NO_MAJORITY
    }
}
