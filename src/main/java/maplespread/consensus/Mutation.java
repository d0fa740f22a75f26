package maplespread.consensus;

import maplespread.errors.FleetException;

/** A change of the register's value, as a function from the newest value to the text that follows it. */
@FunctionalInterface
public interface Mutation {
    /** Reads the newest value and leaves it as it is. */
    Mutation READ = VersionedValue::text;

    /**
     * Returns the next text; the same text makes it a read. May be called several times, also with values that are never
     * decided: it must have no other effect.
     *
     * @param current the newest value
     * @throws FleetException if the change does not fit the value; it is then rejected, and the result carries the error
     */
    String apply(VersionedValue current) throws FleetException;
}
