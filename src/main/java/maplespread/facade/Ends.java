package maplespread.facade;

/** Hears of each job from taken to its end; must be quick. */
public interface Ends {
    /** How a job ended for its client; LEFT: before its answer. */
    enum How {
        SERVED,
        BUSY,
        FAILED,
        LEFT
    }

    /** A job has been taken; what is returned is given back at its end. */
    long taken(Transaction t);

    /** The last byte of its answer was sent, or nobody waits; {@code worker}: tried last, null: none was. */
    void ended(long job, How how, String worker);
}
