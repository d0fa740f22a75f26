package maplespread.facade;

import java.util.List;

/**
 * The endpoint list or a change of it, as its source has delivered it. {@code version} only grows; {@code confirmed}: the
 * source has delivered all that it has, and it is the source that counts now.
 */
public record EndpointUpdate(Kind kind, long version, List<Endpoint> endpoints, boolean confirmed) {
    /** Confirmed unless it is a cached snapshot. */
    public EndpointUpdate(Kind kind, long version, List<Endpoint> endpoints) {
        this(kind, version, endpoints, kind != Kind.CACHED_SNAPSHOT);
    }

    /** What the endpoints of an update are. */
    public enum Kind {
        /** Those that have changed. */
        DELTA,
        /** All there are. */
        FULL_SNAPSHOT,
        /** All there were when the list was last known, before this process started. */
        CACHED_SNAPSHOT
    }
}
