package maplespread.facade;

import java.util.List;

/** What came of the route set: the whole of it or what has changed. */
public record RouteNews(Kind kind, long generation, List<Route> routes) {
    /** HELD: the whole, as last known before this start. */
    public enum Kind {
        CHANGES,
        WHOLE,
        HELD
    }
}
