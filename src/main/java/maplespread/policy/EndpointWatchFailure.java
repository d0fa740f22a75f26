package maplespread.policy;

/** How a watch of the endpoint list, or a call for one, ended. */
public enum EndpointWatchFailure {
    /** Discovery ended it, after it had answered. */
    ENDED,

    /** Nobody listened at its address. */
    REFUSED,

    /** The call was made, and no first line came. */
    NO_ANSWER,

    /** The call never left this machine: no sign of discovery's state. */
    NOT_ASKED
}
