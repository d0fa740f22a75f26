package maplespread.cluster;

import maplespread.errors.FleetException;

/** A part's section of the shared value would be larger than its limit. */
public final class SectionTooLargeException extends FleetException {
    private static final long serialVersionUID = 1;

    SectionTooLargeException(String section, int bytes, int maxBytes) {
        super(
                "the section " + section + " would have " + bytes + " bytes, of " + maxBytes + " at most",
                "the section stays as it was; all other parts, and what makes this one smaller",
                "end or remove what " + section + " no longer needs");
    }
}
