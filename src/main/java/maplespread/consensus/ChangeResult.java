package maplespread.consensus;

/**
 * What came of a change. {@code value}: with DECIDED one that has the change in it, others on top of it
 * perhaps; with REFUSED the one that it does not fit; with NO_MAJORITY what is known, which may be null.
 */
public record ChangeResult(Outcome outcome, VersionedValue value, Exception error) {
    /** NO_MAJORITY: it may yet be decided, or not. */
    public enum Outcome {
        DECIDED,
        REJECTED,
        NO_MAJORITY
    }
}
