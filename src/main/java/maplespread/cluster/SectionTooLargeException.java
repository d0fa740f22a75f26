package maplespread.cluster;

import maplespread.errors.FleetException;

/** A part's section of the agreed value does not fit into its room. */
public final class SectionTooLargeException extends FleetException {
    private static final long serialVersionUID = 1;

    SectionTooLargeException(String part, int bytes, int most) {
        super(
                "the section " + part + " would have " + bytes + " bytes, of " + most + " at most",
                "the section stays as it was; all other parts, and what makes this one smaller",
                "end or remove what " + part + " no longer needs");
    }
}
