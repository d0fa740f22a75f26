package maplespread.facade;

/** Notified when a request is accepted and when it completes. Called on the request's thread: must not block. */
public interface RequestListener {
    /** How a request ended for its client. */
    enum Result {
        /** The worker's result was written. */
        SERVED,
        /** It was rejected: the client may safely retry. */
        REJECTED,
        /** It was answered with an error. */
        FAILED,
        /** The client left before its response. */
        CLIENT_LEFT
    }

    /** A request was accepted. Returns a handle that {@link #requestCompleted} receives. */
    long requestAccepted(InFlightRequest request);

    /**
     * The last byte of the response was sent, or the client has left.
     *
     * @param handle the value that {@link #requestAccepted} returned
     * @param worker the worker of the request's last attempt; null: no attempt was sent
     */
    void requestCompleted(long handle, Result result, String worker);
}
