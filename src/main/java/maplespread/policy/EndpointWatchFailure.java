package maplespread.policy;

/** How a watch of the endpoint list, or a call for one, ended. */
public enum EndpointWatchFailure {
    /** Discovery ended it after it had answered. */
    ENDED,

    /** Nothing listened at discovery's address. */
    REFUSED,

    /** The call was made, but no first line arrived. */
    NO_ANSWER,

    /** The call never left this machine, which says nothing about discovery. */
    NOT_ASKED
}
