package maplespread.facade;

/** Whether an attempt may leave the process at this moment, or why not: {@link DecisionService#checkSend}. */
public enum SendCheck {
    ALLOWED,
    /** The turn in its ordered partition is no longer this request's. */
    ORDERING_PERMIT_LOST,
    /** It was answered, or its client has left. */
    REQUEST_ENDED,
    /** The server drains, is gone, or has another address. */
    SERVER_NOT_LISTED,
    /** The list may be out of date by now. */
    LIST_NOT_CONFIRMED,
    /** Its server would no longer know a repeat. */
    REPEAT_WINDOW_OVER
}
