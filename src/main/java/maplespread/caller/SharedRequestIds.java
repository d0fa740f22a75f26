package maplespread.caller;

/**
 * The request ids claimed by all processes of this dispatcher, while several run. Each id has one claimant. Thread-safe;
 * no call waits for another process.
 */
public interface SharedRequestIds {
    /** The result of a claim. */
    enum Claim {
        CLAIMED,
        /** Another request has used the id. */
        USED,
        /** The claim cannot be recorded at present. */
        UNAVAILABLE
    }

    /** Claims the id with this hash. */
    Claim claim(long hash);

    /** Releases the id with this hash, so that it may be used again. */
    void release(long hash);
}
