package maplespread.registry;

import java.util.List;

/**
 * How a registry is followed. {@code follow}: etcd's and Consul's key prefixes, or the names of Consul
 * services; {@code endpoints} in the order of preference. {@code tokenFile}: empty where none is needed.
 * {@code page}: keys in one answer of a rebuild; {@code requestsPerS}: what all dispatchers together may ask
 * of the registry. Times are milliseconds: {@code dialMs} to connect, {@code answerMs} for an answer,
 * {@code silenceMs} after which a watch that says nothing is replaced, {@code waitMs} that a blocking
 * question asks for at most, {@code preferAgainMs} after which a better endpoint is tried again,
 * {@code restoreAfterMs} after which a history that has gone back is believed, {@code forgetAfterMs} for
 * which workers absent from a restored history are kept, {@code notReadyAfterMs} after which an old view
 * makes the dispatcher unready (0: never).
 */
public record RegistrySettings(
        Dialect dialect,
        List<String> endpoints,
        List<String> follow,
        String tokenFile,
        int page,
        int requestsPerS,
        long dialMs,
        long answerMs,
        long silenceMs,
        long waitMs,
        long preferAgainMs,
        long restoreAfterMs,
        long forgetAfterMs,
        long notReadyAfterMs) {
    /** ETCD: v3 by its JSON gateway. CONSUL_KV: recursive keys. CONSUL_HEALTH: instances of services. */
    public enum Dialect {
        ETCD,
        CONSUL_KV,
        CONSUL_HEALTH;

        /** Whether every answer holds all there is, and none tells what has changed. */
        public boolean returnsFullSnapshots() {
            return this != ETCD;
        }
    }

    public static final long DEFAULT_DIAL_MS = 250, DEFAULT_SILENCE_MS = 2000;
    private static final long LONG_WAIT_MS = 10_000, SHORT_WAIT_MS = 2000;
    private static final int FEW_ENDPOINTS = 2; // 2 s are enough for a try at each
    /** Consul adds up to this part of a wait to it. */
    static final int CONSUL_EXTRA = 16;

    private static final long CLOCK_MS = 6000, AFTER_WAIT_MS = 2000;
    private static final long REST_MS = 60, MARGIN_MS = 250; // between two tries; threads, pauses
    private static final long MOST_ANSWER_MS = 1000, LEAST_ANSWER_MS = 50;

    /** With the defaults of the operators' file, for tools and tests. */
    public static RegistrySettings withDefaults(Dialect dialect, List<String> endpoints, List<String> follow) {
        int n = endpoints.size();
        return new RegistrySettings(
                dialect,
                endpoints,
                follow,
                "",
                1000,
                2000,
                DEFAULT_DIAL_MS,
                defaultAnswerMs(dialect, n, follow.size(), DEFAULT_DIAL_MS, DEFAULT_SILENCE_MS, defaultWaitMs(n)),
                DEFAULT_SILENCE_MS,
                defaultWaitMs(n),
                30_000,
                3000,
                15_000,
                60_000);
    }

    /** A long wait costs the registry less; with many endpoints only a short one leaves time for them. */
    public static long defaultWaitMs(int endpoints) {
        return endpoints <= FEW_ENDPOINTS ? LONG_WAIT_MS : SHORT_WAIT_MS;
    }

    /** The longest time for an answer that keeps the clock, in steps of 50 ms; 1 s is enough for any. */
    public static long defaultAnswerMs(
            Dialect dialect, int endpoints, int follow, long dialMs, long silenceMs, long waitMs) {
        long answer = MOST_ANSWER_MS, clock = stalenessLimitMs(dialect, waitMs);
        while (answer > LEAST_ANSWER_MS
                && worstCaseMs(dialect, endpoints, follow, dialMs, answer, silenceMs, waitMs) > clock) {
            answer -= LEAST_ANSWER_MS;
        }
        return answer;
    }

    /** Within so many milliseconds of silence the new word is to be in hand. */
    public long stalenessLimitMs() {
        return stalenessLimitMs(dialect, waitMs);
    }

    private static long stalenessLimitMs(Dialect dialect, long waitMs) {
        return dialect.returnsFullSnapshots() ? Math.max(CLOCK_MS, waitMs + AFTER_WAIT_MS) : CLOCK_MS;
    }

    /** How long it may take, while one endpoint answers in time and all others take calls in silence. */
    public long worstCaseMs() {
        return worstCaseMs(dialMs, silenceMs, waitMs);
    }

    private long worstCaseMs(long dial, long silence, long wait) {
        return worstCaseMs(dialect, endpoints.size(), follow.size(), dial, answerMs, silence, wait);
    }

    /**
     * The silence until it is noticed; a try that is lost at each other endpoint; and the one that answers:
     * for Consul the list, for etcd the check, what was missed, and a rebuild's first page of each prefix.
     */
    private static long worstCaseMs(
            Dialect dialect, int endpoints, int follow, long dialMs, long answerMs, long silenceMs, long waitMs) {
        long call = dialMs + answerMs;
        boolean consul = dialect.returnsFullSnapshots();
        long noticed = consul ? waitMs + call : Math.max(silenceMs, call);
        return noticed + endpoints * (call + REST_MS) + (consul ? 0 : (1 + follow) * answerMs) + MARGIN_MS;
    }

    /** The key because of which the clock cannot be kept; null: it is kept. */
    public String keyBreakingStalenessLimit() {
        if (!rateKeepsStalenessLimit(1)) {
            return "requests_per_s";
        }
        if (worstCaseMs() <= stalenessLimitMs()) {
            return null;
        }
        if (worstCaseMs(dialMs, Math.min(silenceMs, DEFAULT_SILENCE_MS), waitMs) <= stalenessLimitMs()) {
            return "silence_ms";
        }
        if (worstCaseMs(Math.min(dialMs, DEFAULT_DIAL_MS), silenceMs, waitMs) <= stalenessLimitMs()) {
            return "dial_ms";
        }
        if (answerMs > LEAST_ANSWER_MS) {
            return "answer_ms";
        }
        long wait = Math.min(waitMs, SHORT_WAIT_MS);
        return worstCaseMs(dialMs, silenceMs, wait) <= stalenessLimitMs(dialect, wait)
                ? "wait_ms"
                : !dialect.returnsFullSnapshots() && follow.size() > endpoints.size() ? "follow" : "endpoints";
    }

    /** Whether a dispatcher's share of the requests comes as fast as answers may. */
    boolean rateKeepsStalenessLimit(int dispatchers) {
        return 1000L * dispatchers <= requestsPerS * answerMs;
    }

    /** What a question asks for, so that {@code waitMs} holds with what Consul adds. */
    long askedWaitMs() {
        return waitMs * CONSUL_EXTRA / (CONSUL_EXTRA + 1);
    }
}
