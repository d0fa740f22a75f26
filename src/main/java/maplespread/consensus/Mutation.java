package maplespread.consensus;

import maplespread.errors.FleetException;

/** What a caller wants of the value. */
@FunctionalInterface
public interface Mutation {
    /** Reads the newest value as it is. */
    Mutation READ = VersionedValue::text;

    /**
     * The text that is to follow; the same text where nothing is to change, which makes it a read. May be
     * called several times, with values that are never decided: it must have no other effect. What it throws
     * refuses it, and comes with the result as it is.
     */
    String apply(VersionedValue now) throws FleetException;
}
