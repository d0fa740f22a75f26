package maplespread.facade;

/** Notified when a request is accepted and when it completes. Called on the request's thread: must not block. */
public interface RequestListener {
    /** How a request ended for its client. */
    enum Result {
        /** The worker's result was written. */
        SERVED,
        /** It was rejected, harmless to send again. */
        REJECTED,
        /** It was answered with an error. */
        FAILED,
        /** The client left before its response. */
        CLIENT_LEFT
    }

    /** A request has been accepted; the value returned is handed back when it completes. */
    long requestAccepted(InFlightRequest request);

    /**
     * The last byte of the response was sent, or the client has left. {@code handle}: what {@link #requestAccepted}
     * returned; {@code worker}: the one it was sent to last, or null where it was sent to none.
     */
    void requestCompleted(long handle, Result result, String worker);
}
