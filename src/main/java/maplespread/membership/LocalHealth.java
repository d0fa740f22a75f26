package maplespread.membership;

/**
 * Lifeguard's local health score. A higher score means that this member is more likely to be slow itself, and lengthens
 * its timeouts for others.
 */
final class LocalHealth {
    private final int max;
    private int score;

    LocalHealth(int max) {
        this.max = max;
    }

    /** The score, from 0 (healthy) to the maximum in the settings. */
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

    /** The duration multiplied by the score plus one. */
    long scaled(long durationMs) {
        return durationMs * (1 + score);
    }
}
