package maplespread.facade;

import java.util.List;

/**
 * The endpoint list or a change of it, as received from its source.
 *
 * @param version the list's version; never decreases
 * @param confirmed whether the source is the current one and has delivered everything it has
 */
public record EndpointUpdate(Kind kind, long version, List<Endpoint> endpoints, boolean confirmed) {
    /** Creates an update that is confirmed unless it is a cached snapshot. */
    public EndpointUpdate(Kind kind, long version, List<Endpoint> endpoints) {
        this(kind, version, endpoints, kind != Kind.CACHED_SNAPSHOT);
    }

    /** The same update from a source that is being replaced: the new source may know of further changes. */
    public EndpointUpdate unconfirmed() {
        return new EndpointUpdate(kind, version, endpoints, false);
    }

    /** Which endpoints an update contains. */
    public enum Kind {
        /** The endpoints that have changed. */
        DELTA,
        /** All endpoints. */
        FULL_SNAPSHOT,
        /** All endpoints of the list that was cached before this process started. */
        CACHED_SNAPSHOT
    }
}
