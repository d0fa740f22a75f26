package maplespread.agreement;

import maplespread.faults.FleetError;

/** A change does not fit the value as it is. */
public class Refused extends FleetError {
    private static final long serialVersionUID = 1;

    public Refused(String wrong, String works, String remedy) {
        super(wrong, works, remedy);
    }
}
