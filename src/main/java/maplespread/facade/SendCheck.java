package maplespread.facade;

/** Whether an attempt may be sent now, or why not: the result of {@link DecisionService#checkSend}. */
public enum SendCheck {
    /** It may be sent. */
    ALLOWED,
    /** The request no longer holds its permit in its ordered partition. */
    ORDERING_PERMIT_LOST,
    /** The request has its response, or its client has left. */
    REQUEST_ENDED,
    /** The worker is draining, is not on the endpoint list, or has another address. */
    SERVER_NOT_LISTED,
    /** The endpoint list may be out of date. */
    LIST_NOT_CONFIRMED,
    /** The time is over in which workers recognize a repeat of the request. */
    REPEAT_WINDOW_OVER
}
