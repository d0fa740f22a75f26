package maplespread.agreement;

import maplespread.faults.FleetError;

/** A value does not fit into one packet. */
public final class TooLarge extends FleetError {
    private static final long serialVersionUID = 1;

    TooLarge(int bytes, int most) {
        super(
                "the value would have " + bytes + " bytes, of " + most + " at most",
                "the value stays as it was",
                "end or remove what is no longer needed in it");
    }
}
