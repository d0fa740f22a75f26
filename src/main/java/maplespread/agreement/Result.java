package maplespread.agreement;

/**
 * What came of a change. {@code value}: with DECIDED one that has the change in it, others on top of it
 * perhaps; with REFUSED the one that it does not fit; with NO_MAJORITY what is known, which may be null.
 */
public record Result(Kind kind, Value value, Exception why) {
    /** NO_MAJORITY: it may yet be decided, or not. */
    public enum Kind {
        DECIDED,
        REFUSED,
        NO_MAJORITY
    }
}
