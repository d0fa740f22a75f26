package maplespread.agreement;

import maplespread.faults.FleetError;

/** No majority of the electors answered in time. */
public final class NoMajority extends FleetError {
    private static final long serialVersionUID = 1;

    NoMajority(String wrong) {
        super(
                wrong,
                "what was decided before holds and is known; this change may yet be decided, or not",
                "read the value again; if most electors have restarted at once, found it anew by call");
    }
}
