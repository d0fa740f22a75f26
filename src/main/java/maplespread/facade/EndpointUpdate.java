package maplespread.facade;

import java.util.List;

/**
 * What came of the route set: the whole of it or what has changed. {@code current}: its source has told all that it
 * has, and it is the source that counts now.
 */
public record EndpointUpdate(Kind kind, long generation, List<Route> routes, boolean current) {
    public EndpointUpdate(Kind kind, long generation, List<Route> routes) {
        this(kind, generation, routes, kind != Kind.HELD);
    }

    /** HELD: the whole, as last known before this start. */
    public enum Kind {
        CHANGES,
        WHOLE,
        HELD
    }
}
