package maplespread.starvation;

import maplespread.errors.FleetException;

/** Bytes on the windows' channel are no window of this version. */
public final class MalformedWindowException extends FleetException {
    private static final long serialVersionUID = 1;

    MalformedWindowException(String reason) {
        super(
                "what another dispatcher sent of its waits cannot be read: " + reason,
                "all else; its waits are missing in the verdicts, which say so",
                "have all dispatchers run versions that understand each other");
    }
}
