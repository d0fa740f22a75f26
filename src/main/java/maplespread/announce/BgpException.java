package maplespread.announce;

/** What a NOTIFICATION says: an error's code and subcode, RFC 4271 section 4.5. */
public final class BgpException extends Exception {
    private static final long serialVersionUID = 1;
    public final int code, subcode;

    BgpException(int code, int subcode, String what) {
        super(what, null, false, false);
        this.code = code;
        this.subcode = subcode;
    }
}
