package maplespread.consensus;

import maplespread.errors.FleetException;

/** No majority of the electors answered in time; the change may still be decided later, or never. */
public final class QuorumLostException extends FleetException {
    private static final long serialVersionUID = 1;

    QuorumLostException(String wrong) {
        super(
                wrong,
                "what was decided before holds and is known; this change may yet be decided, or not",
                "read the value again; if most electors have restarted at once, found it anew by call");
    }
}
