package maplespread.facade;

/** Whether an attempt may leave the process at this moment, or why not: {@link DecisionService#checkSend}. */
public enum SendCheck {
    /** It may be sent. */
    ALLOWED,
    /** The request no longer holds its permit in its ordered partition. */
    ORDERING_PERMIT_LOST,
    /** The request was answered, or its client has left. */
    REQUEST_ENDED,
    /** The worker drains, is gone, or has another address. */
    SERVER_NOT_LISTED,
    /** The endpoint list may be out of date by now. */
    LIST_NOT_CONFIRMED,
    /** Its worker would no longer recognize a repeat. */
    REPEAT_WINDOW_OVER
}
