package maplespread.policy;

/**
 * How a watch or a call for one ended. ENDED: by discovery, after it had spoken; REFUSED: nobody listened;
 * NO_ANSWER: no first word came; NOT_ASKED: the call never left this machine.
 */
public enum EndpointWatchFailure {
    ENDED,
    REFUSED,
    NO_ANSWER,
    NOT_ASKED
}
