package maplespread.registry;

/**
 * When a call counts as unanswered. A registry that is slower than {@code answer_ms} is followed all the same:
 * the limit doubles after each round of servers that gave no answer, up to a maximum. Not thread-safe.
 */
final class CallTimeout {
    private static final long MAX_ANSWER_MS = 3000;
    private static final int MAX_DOUBLINGS = 5;

    private final RegistrySettings settings;
    private final int servers;
    private long startedAtMs;
    private int unansweredInRow;

    CallTimeout(RegistrySettings settings, int servers) {
        this.settings = settings;
        this.servers = servers;
    }

    void callStarts(long nowMs) {
        startedAtMs = nowMs;
    }

    /** When the call that is out began. */
    long startedAtMs() {
        return startedAtMs;
    }

    /** A call has ended without an answer. */
    void recordSilence() {
        unansweredInRow++;
    }

    /** An answer has come; within the configured time, the registry is no longer slow. */
    void recordAnswer(long nowMs) {
        if (nowMs - startedAtMs <= settings.dialMs() + settings.answerMs()) {
            unansweredInRow = 0;
        }
    }

    /** When a call that answers at once is given up. */
    long answerDueAtMs() {
        long doubledMs = settings.answerMs() << Math.min(MAX_DOUBLINGS, unansweredInRow / servers);
        long answerMs = Math.max(settings.answerMs(), Math.min(MAX_ANSWER_MS, doubledMs));
        return startedAtMs + settings.dialMs() + answerMs;
    }

    /** When a query that blocks for up to {@code waitMs} is given up: Consul adds a part to each wait. */
    long blockingAnswerDueAtMs(long waitMs) {
        return answerDueAtMs() + waitMs + waitMs / RegistrySettings.CONSUL_EXTRA;
    }
}
