package maplespread.registry;

import maplespread.facade.Endpoint;

/**
 * What one key of a registry says of a worker, as the {@link EndpointView} that owns it holds it. Not
 * thread-safe.
 */
final class EndpointClaim {
    static final long NOT_ORPHANED = Long.MAX_VALUE;

    final int target;
    final String key;
    /** The number of the revision that changed the key last. */
    long revision;
    /** Of the value that came last, readable or not. */
    int valueHash;
    /** The number of the reading at which the endpoint was decoded last. */
    long reading;
    /** Null until a value of it could be decoded. */
    Endpoint endpoint;
    /** Until when it stays though a restored registry does not know it. */
    long orphanUntilMs = NOT_ORPHANED;

    EndpointClaim(int target, String key) {
        this.target = target;
        this.key = key;
    }

    /** Whether a restored registry does not know the key. */
    boolean isOrphan() {
        return orphanUntilMs < NOT_ORPHANED;
    }

    /** Whether the entry is what came last. */
    boolean holds(RegistryEntry entry) {
        return revision == entry.revision() && valueHash == entry.valueHash();
    }

    /** Whether this claim to a worker counts rather than the other one. */
    boolean precedes(EndpointClaim other) {
        int byStart = Double.compare(endpoint.startedAtMs(), other.endpoint.startedAtMs());
        if (byStart != 0) {
            return byStart > 0;
        }
        boolean drains = endpoint.state() != Endpoint.State.SERVING;
        if (drains != (other.endpoint.state() != Endpoint.State.SERVING)) {
            return drains;
        }
        return target != other.target ? target < other.target : key.compareTo(other.key) < 0;
    }
}
