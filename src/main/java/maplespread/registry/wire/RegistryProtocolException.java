package maplespread.registry.wire;

/** An answer is not of the dialect. The same call may be made again: a server may have been replaced. */
public final class RegistryProtocolException extends Exception {
    private static final long serialVersionUID = 1;

    RegistryProtocolException(String what, Throwable cause) {
        super(what + ": " + cause.getMessage());
    }
}
