package maplespread.consensus;

import maplespread.errors.FleetException;

/** The text of a value exceeds the maximum size, which ensures that a message fits into one packet. */
public final class ValueTooLargeException extends FleetException {
    private static final long serialVersionUID = 1;

    ValueTooLargeException(int bytes, int maxBytes) {
        super(
                "the value would have " + bytes + " bytes, of " + maxBytes + " at most",
                "the value stays as it was",
                "end or remove what is no longer needed in it");
    }
}
