package maplespread.registry.wire;

/** An answer that is not of the dialect. */
public final class RegistryProtocolException extends Exception {
    private static final long serialVersionUID = 1;

    RegistryProtocolException(String what, Throwable why) {
        super(what + ": " + why.getMessage());
    }
}
