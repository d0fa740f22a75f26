package maplespread.registry;

/** How a call to the registry ended, as the shell saw it. */
public enum CallOutcome {
    /** Its answer was whole. */
    DONE,
    /** The core had it stopped. */
    STOPPED,
    /** The connection was refused or never came up: it cost the registry nothing. */
    REFUSED,
    /** Nothing came in time. */
    SILENT,
    /** The connection ended inside an answer, or a watch ended. */
    BROKEN,
    /** An answer that says so: any status but 200 that is no other of these. */
    ERROR,
    /** 401 or 403, or etcd's words for them. */
    DENIED,
    /** Not this dialect: content type, JSON, a missing member. */
    MALFORMED,
    /** More than can be held at once: a page must be smaller. */
    TOO_LARGE
}
