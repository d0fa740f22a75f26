package maplespread.policy;

/** Why a confirmed endpoint list may be out of date although no call to discovery has failed. */
public enum EndpointListDoubt {
    /** Its watch is silent. */
    SILENT,

    /** Discovery has a new address from now on, which has sent nothing yet. */
    MOVED
}
