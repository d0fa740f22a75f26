package maplespread.policy;

/** Why a confirmed endpoint list is in doubt while no call has failed. */
public enum EndpointListDoubt {
    /** Its watch says nothing any more. */
    SILENT,

    /** Another address of discovery counts from now on, which has said nothing yet. */
    MOVED
}
