package maplespread.membership;

/**
 * Lifeguard's local health: how much a member doubts its own timeliness. The more it does, the longer it waits before it
 * judges others.
 */
final class LocalHealth {
    private final int max;
    private int score;

    LocalHealth(int max) {
        this.max = max;
    }

    /** 0: sound; at most the bound of the settings. */
    int score() {
        return score;
    }

    void improve() {
        score = Math.max(0, score - 1);
    }

    void worsen(int by) {
        score = Math.min(max, score + by);
    }

    void worsenToMax() {
        score = max;
    }

    /** A duration, stretched by the doubt. */
    long scaled(long durationMs) {
        return durationMs * (1 + score);
    }
}
