package maplespread.consensus;

import maplespread.errors.FleetException;

/** Thrown by a mutation that does not apply to the current value. */
public class ChangeRejectedException extends FleetException {
    private static final long serialVersionUID = 1;

    /** See {@link FleetException}: what is wrong, what still works, and what an operator can do. */
    public ChangeRejectedException(String wrong, String works, String remedy) {
        super(wrong, works, remedy);
    }
}
