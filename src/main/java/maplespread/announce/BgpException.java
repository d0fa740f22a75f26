package maplespread.announce;

/** A peer has broken the protocol: what a NOTIFICATION reports (RFC 4271 section 4.5). */
public final class BgpException extends Exception {
    private static final long serialVersionUID = 1;

    /** A message header that is damaged; RFC 4271 section 6.1. */
    static final int MESSAGE_HEADER_ERROR = 1;

    /** An OPEN that cannot be accepted; RFC 4271 section 6.2. */
    static final int OPEN_MESSAGE_ERROR = 2;

    /** An UPDATE that is malformed; RFC 4271 section 6.3. */
    static final int UPDATE_MESSAGE_ERROR = 3;

    /** The peer was silent for the hold time; RFC 4271 section 6.5. */
    static final int HOLD_TIMER_EXPIRED = 4;

    /** A message that the session's state does not allow; RFC 6608. */
    static final int STATE_MACHINE_ERROR = 5;

    /** This side ends the session on purpose; RFC 4486. */
    static final int CEASE = 6;

    private final int code;
    private final int subcode;

    BgpException(int code, int subcode, String problem) {
        super(problem, null, false, false);
        this.code = code;
        this.subcode = subcode;
    }

    /** The error code. */
    public int code() {
        return code;
    }

    /** The error subcode; 0: unspecific. */
    public int subcode() {
        return subcode;
    }
}
