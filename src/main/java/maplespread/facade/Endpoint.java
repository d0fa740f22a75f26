package maplespread.facade;

/**
 * A worker as the route set shows it. Kind and zone are places in the settings' lists, -1 where they are not
 * named there; {@code startedAtMs} is Unix time, 0: long ago.
 */
public record Endpoint(
        String worker, String address, State state, double weight, int kind, int cell, int zone, double startedAtMs) {
    /** SERVING takes work, DRAINING completes what it holds, DELETED is gone. */
    public enum State {
        SERVING,
        DRAINING,
        DELETED
    }
}
