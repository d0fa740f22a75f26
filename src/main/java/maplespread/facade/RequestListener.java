package maplespread.facade;

/** Hears of each job from taken to its end; must be quick. */
public interface RequestListener {
    /** How a job ended for its client; LEFT: before its answer. */
    enum Result {
        SERVED,
        REJECTED,
        FAILED,
        CLIENT_LEFT
    }

    /** A job has been taken; what is returned is given back at its end. */
    long requestAccepted(InFlightRequest t);

    /** The last byte of its answer was sent, or nobody waits; {@code worker}: tried last, null: none was. */
    void requestCompleted(long job, Result how, String worker);
}
