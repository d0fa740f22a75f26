package maplespread.facade;

/**
 * A worker on the endpoint list. {@code kind} and {@code zone} are indexes in the settings' lists, -1 where they are not
 * named there; {@code startedAtMs} is Unix time in milliseconds, 0 where it started long ago.
 */
public record Endpoint(
        String worker, String address, State state, double weight, int kind, int cell, int zone, double startedAtMs) {
    /** The lifecycle of a worker, by the names that discovery uses on the wire. */
    public enum State {
        /** Takes requests. */
        SERVING,
        /** Completes what it holds and gets nothing new. */
        DRAINING,
        /** Is no longer on the list. */
        DELETED
    }
}
