package maplespread.policy;

/**
 * How far the list can be relied on. UNCONFIRMED: discovery has said nothing since this process started; CONFIRMED:
 * a watch tells all changes; RENEWING: it does not, for a short while; UNREACHABLE: it does not, and there is
 * nobody who could know of one; STALE: changes may have been missed that this node is held to.
 */
public enum EndpointListState {
    UNCONFIRMED,
    CONFIRMED,
    RENEWING,
    UNREACHABLE,
    STALE
}
