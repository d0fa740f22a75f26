package maplespread.policy;

/** Checks of arguments, shared by the records and events of this package. */
final class Preconditions {
    private Preconditions() {}

    /** Throws {@link IllegalArgumentException} with the message unless the condition holds. */
    static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
