package maplespread.membership;

/** A probe of one member that is under way: a direct ping first, then pings by helpers. */
final class Probe {
    private final String target;
    private final long sequence;
    private final long indirectAt;
    private final long endsAt;
    private boolean indirect;
    private boolean acknowledged;
    private int helpers;
    private int negativeAnswers;

    /** Times in milliseconds: when helpers are asked, and when the target is suspected. */
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

    /** A helper answers that it has not reached the target. */
    void answerNegatively() {
        negativeAnswers++;
    }

    /** Whether it is time to ask helpers, who were not asked yet. */
    boolean needsHelpers(long now) {
        return !indirect && now >= indirectAt;
    }

    void startIndirect() {
        indirect = true;
    }

    void addHelper() {
        helpers++;
    }

    boolean hasFailed(long now) {
        return indirect && now >= endsAt;
    }

    /**
     * By how much a failure lowers the trust in this member's own timeliness: helpers that do not answer at all are a
     * sign that this member is the one that is cut off, or slow.
     */
    int doubtAfterFailure() {
        return helpers > 0 ? helpers - negativeAnswers : 1;
    }

    /** When its next step is due, in milliseconds. */
    long nextStepAt() {
        return indirect ? endsAt : indirectAt;
    }
}
