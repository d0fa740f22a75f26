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
        /** No majority answered in time: the change may yet be decided, or not. */
        NO_MAJORITY
    }
}
