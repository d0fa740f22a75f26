package maplespread.starvation;

import maplespread.faults.FleetError;

/** Bytes on the waits' channel that are no window of this version. */
public final class NotAWindow extends FleetError {
    private static final long serialVersionUID = 1;

    NotAWindow(String why) {
        super(
                "what another dispatcher sent of its waits cannot be read: " + why,
                "all else; its waits are missing in the verdicts, which say so",
                "have all dispatchers run versions that understand each other");
    }
}
