package maplespread.facade;

/**
 * A worker's entry on the endpoint list.
 *
 * @param kind index in the settings' list of worker kinds; -1: not on that list
 * @param zone index in the settings' list of zones; -1: not on that list
 * @param startedAtMs Unix time in milliseconds at which the worker started; 0: long ago
 */
public record Endpoint(
        String worker, String address, State state, double weight, int kind, int cell, int zone, double startedAtMs) {
    /** The lifecycle states of a worker, under the names that discovery uses on the wire. */
    public enum State {
        /** Accepts requests. */
        SERVING,
        /** Completes its requests and is sent no new ones. */
        DRAINING,
        /** Is no longer on the list. */
        DELETED
    }
}
