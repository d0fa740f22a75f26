package maplespread.membership;

/** A probe of one member in progress: a direct ping first, then pings by helpers. */
final class Probe {
    private final String target;
    private final long sequence;
    private final long indirectAt;
    private final long endsAt;
    private boolean indirect;
    private boolean acknowledged;
    private int helpers;
    private int nacks;

    /**
     * Creates a probe in its direct phase.
     *
     * @param indirectAt when helpers are asked to ping the target, in milliseconds
     * @param endsAt when the probe fails, in milliseconds
     */
    Probe(String target, long sequence, long indirectAt, long endsAt) {
        this.target = target;
        this.sequence = sequence;
        this.indirectAt = indirectAt;
        this.endsAt = endsAt;
    }

    String target() {
        return target;
    }

    long sequence() {
        return sequence;
    }

    boolean acknowledged() {
        return acknowledged;
    }

    void acknowledge() {
        acknowledged = true;
    }

    /** Counts a helper's reply that the target has not answered it. */
    void addNack() {
        nacks++;
    }

    /** Whether helpers are due to be asked and were not asked yet. */
    boolean needsHelpers(long now) {
        return !indirect && now >= indirectAt;
    }

    void beginIndirectPhase() {
        indirect = true;
    }

    void addHelper() {
        helpers++;
    }

    boolean hasFailed(long now) {
        return indirect && now >= endsAt;
    }

    /**
     * The amount by which a failure worsens the local health score: helpers that do not answer at all indicate that this
     * member itself is disconnected or slow.
     */
    int healthPenalty() {
        return helpers > 0 ? helpers - nacks : 1;
    }

    /** When the next step of the probe is due, in milliseconds. */
    long nextStepAt() {
        return indirect ? endsAt : indirectAt;
    }
}
