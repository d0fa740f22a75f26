package maplespread.registry;

/** How a call to a registry ended, as its client saw it. Log lines and messages show the constants' names. */
public enum CallOutcome {
    /** Its answer was whole. */
    DONE,
    /** The watcher had it stopped. */
    STOPPED,
    /** The connection was refused or never came up: it cost the registry nothing. */
    REFUSED,
    /** Nothing came in time. */
    SILENT,
    /** The connection ended inside an answer, or a watch ended. */
    BROKEN,
    /** The status was not 200 and has no constant of its own here. */
    ERROR,
    /** Status 401 or 403, or etcd's words for them. */
    DENIED,
    /** The answer is not of the dialect: its content type, its JSON, or a missing member. */
    MALFORMED,
    /** The answer is more than can be held at once: a page must be smaller. */
    TOO_LARGE;

    /** Whether the connection was lost, or was never there: another registry may answer next time. */
    boolean isConnectionLoss() {
        return this == BROKEN || this == SILENT || this == REFUSED;
    }
}
