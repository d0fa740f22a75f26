package maplespread.policy;

/**
 * Why a list that was confirmed is in doubt while no call has failed. SILENT: its watch says nothing any more;
 * MOVED: another address of discovery counts from now on, which has said nothing yet.
 */
public enum EndpointListDoubt {
    SILENT,
    MOVED
}
