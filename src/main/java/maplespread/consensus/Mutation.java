package maplespread.consensus;

import maplespread.errors.FleetException;

/** A change of the replicated value, as a function from the newest value to the next text. */
@FunctionalInterface
public interface Mutation {
    /** Reads the newest value without changing it. */
    Mutation READ = VersionedValue::text;

    /**
     * Returns the next text; if the text is unchanged, the change amounts to a read. Must be free of side effects,
     * because it may be called several times, including with values that are never decided.
     *
     * @param current the newest value
     * @throws FleetException if the change does not apply to the value; it is then rejected, and the result contains
     *     the error
     */
    String apply(VersionedValue current) throws FleetException;
}
