package maplespread.agreement;

import maplespread.faults.FleetError;

/** What a caller wants of the value. */
@FunctionalInterface
public interface Change {
    /** Reads the newest value as it is. */
    Change READ = Value::text;

    /**
     * The text that is to follow; the same text where nothing is to change, which makes it a read. May be
     * called several times, with values that are never decided: it must have no other effect. What it throws
     * refuses it, and comes with the result as it is.
     */
    String apply(Value now) throws FleetError;
}
