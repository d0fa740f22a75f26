package maplespread.facade;

import java.util.List;

/**
 * What came of the route set: the whole of it or what has changed. {@code current}: its source has told all that it
 * has, and it is the source that counts now.
 */
public record EndpointUpdate(Kind kind, long version, List<Endpoint> endpoints, boolean confirmed) {
    public EndpointUpdate(Kind kind, long generation, List<Endpoint> routes) {
        this(kind, generation, routes, kind != Kind.CACHED_SNAPSHOT);
    }

    /** HELD: the whole, as last known before this start. */
    public enum Kind {
        DELTA,
        FULL_SNAPSHOT,
        CACHED_SNAPSHOT
    }
}
