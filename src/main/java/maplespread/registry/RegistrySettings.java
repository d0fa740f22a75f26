package maplespread.registry;

import java.util.List;

/**
 * How a registry is followed. {@code check} prints the components by their names, so these are not to be renamed.
 *
 * @param endpoints the registry's servers, in the order of preference
 * @param follow etcd's and Consul's key prefixes, or the names of Consul services: the targets
 * @param tokenFile empty where no token is needed
 * @param page keys in one answer of a rebuild
 * @param requestsPerS what all dispatchers together may ask of the registry
 * @param dialMs to connect
 * @param answerMs for an answer
 * @param silenceMs after which a watch that sends nothing is replaced
 * @param waitMs that a blocking query asks for at most
 * @param preferAgainMs after which a better server is tried again
 * @param restoreAfterMs after which a history that has gone back is believed
 * @param forgetAfterMs for which workers absent from a restored history are kept
 * @param notReadyAfterMs after which a stale view makes the dispatcher not ready; 0: never
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
    /** The protocols. Messages show the constants' names. */
    public enum Dialect {
        /** etcd v3 by its JSON gateway. */
        ETCD,
        /** Consul's recursive keys. */
        CONSUL_KV,
        /** The instances of Consul's services. */
        CONSUL_HEALTH;

        /** Whether every answer holds all there is, and none tells what has changed. */
        public boolean returnsFullSnapshots() {
            return this != ETCD;
        }
    }

    /** Default of {@code dial_ms}. */
    public static final long DEFAULT_DIAL_MS = 250;

    /** Default of {@code silence_ms}. */
    public static final long DEFAULT_SILENCE_MS = 2000;

    private static final int DEFAULT_PAGE = 1000;
    private static final int DEFAULT_REQUESTS_PER_S = 2000;
    private static final long DEFAULT_PREFER_AGAIN_MS = 30_000;
    private static final long DEFAULT_RESTORE_AFTER_MS = 3000;
    private static final long DEFAULT_FORGET_AFTER_MS = 15_000;
    private static final long DEFAULT_NOT_READY_AFTER_MS = 60_000;
    private static final long LONG_WAIT_MS = 10_000;
    private static final long SHORT_WAIT_MS = 2000;

    /** With so many servers a long wait leaves time for an attempt at each. */
    private static final int MAX_SERVERS_WITH_LONG_WAIT = 2;

    /** Consul adds up to one part in this many of a wait to it. */
    static final int CONSUL_EXTRA = 16;

    private static final long STALENESS_LIMIT_MS = 6000;

    /** The staleness limit of a blocking query is at least its wait and this. */
    private static final long AFTER_WAIT_MS = 2000;

    /** The longest backoff between two attempts within the staleness limit. */
    private static final long BACKOFF_MS = 60;

    /** For threads and process pauses. */
    private static final long MARGIN_MS = 250;

    private static final long MAX_DEFAULT_ANSWER_MS = 1000;
    private static final long MIN_DEFAULT_ANSWER_MS = 50;
    private static final long ANSWER_STEP_MS = 50;
    private static final long MS_PER_SECOND = 1000;

    /** With the defaults of the operators' file, for tools and tests. */
    public static RegistrySettings withDefaults(Dialect dialect, List<String> endpoints, List<String> follow) {
        int servers = endpoints.size();
        long waitMs = defaultWaitMs(servers);
        return new RegistrySettings(
                dialect,
                endpoints,
                follow,
                "",
                DEFAULT_PAGE,
                DEFAULT_REQUESTS_PER_S,
                DEFAULT_DIAL_MS,
                defaultAnswerMs(dialect, servers, follow.size(), DEFAULT_DIAL_MS, DEFAULT_SILENCE_MS, waitMs),
                DEFAULT_SILENCE_MS,
                waitMs,
                DEFAULT_PREFER_AGAIN_MS,
                DEFAULT_RESTORE_AFTER_MS,
                DEFAULT_FORGET_AFTER_MS,
                DEFAULT_NOT_READY_AFTER_MS);
    }

    /** A long wait costs the registry less; with many servers only a short one leaves time for them. */
    public static long defaultWaitMs(int servers) {
        return servers <= MAX_SERVERS_WITH_LONG_WAIT ? LONG_WAIT_MS : SHORT_WAIT_MS;
    }

    /** The longest time for an answer that keeps the staleness limit, in steps; one second is enough for any. */
    public static long defaultAnswerMs(
            Dialect dialect, int servers, int targets, long dialMs, long silenceMs, long waitMs) {
        long answerMs = MAX_DEFAULT_ANSWER_MS;
        long limitMs = stalenessLimitMs(dialect, waitMs);
        while (answerMs > MIN_DEFAULT_ANSWER_MS
                && worstCaseMs(dialect, servers, targets, dialMs, answerMs, silenceMs, waitMs) > limitMs) {
            answerMs -= ANSWER_STEP_MS;
        }
        return answerMs;
    }

    /** Within this time after a watch or query fell silent, what the registry holds is to be known here. */
    public long stalenessLimitMs() {
        return stalenessLimitMs(dialect, waitMs);
    }

    private static long stalenessLimitMs(Dialect dialect, long waitMs) {
        return dialect.returnsFullSnapshots()
                ? Math.max(STALENESS_LIMIT_MS, waitMs + AFTER_WAIT_MS)
                : STALENESS_LIMIT_MS;
    }

    /** How long that may take while one server answers in time and all others leave calls unanswered. */
    public long worstCaseMs() {
        return worstCaseMs(dialMs, silenceMs, waitMs);
    }

    private long worstCaseMs(long dial, long silence, long wait) {
        return worstCaseMs(dialect, endpoints.size(), follow.size(), dial, answerMs, silence, wait);
    }

    /**
     * The silence until it is noticed; an attempt that is lost at each other server; and the one that answers: for
     * Consul the list, for etcd the verification, the missed changes, and a rebuild's first page of each target.
     */
    private static long worstCaseMs(
            Dialect dialect, int servers, int targets, long dialMs, long answerMs, long silenceMs, long waitMs) {
        long callMs = dialMs + answerMs;
        boolean blocking = dialect.returnsFullSnapshots();
        long noticedMs = blocking ? waitMs + callMs : Math.max(silenceMs, callMs);
        long readMs = blocking ? 0 : (1 + targets) * answerMs;
        return noticedMs + servers * (callMs + BACKOFF_MS) + readMs + MARGIN_MS;
    }

    /** The key because of which the staleness limit cannot be kept; null: it is kept. */
    public String keyBreakingStalenessLimit() {
        if (!rateKeepsStalenessLimit(1)) {
            return "requests_per_s";
        }
        long limitMs = stalenessLimitMs();
        if (worstCaseMs() <= limitMs) {
            return null;
        }
        if (worstCaseMs(dialMs, Math.min(silenceMs, DEFAULT_SILENCE_MS), waitMs) <= limitMs) {
            return "silence_ms";
        }
        if (worstCaseMs(Math.min(dialMs, DEFAULT_DIAL_MS), silenceMs, waitMs) <= limitMs) {
            return "dial_ms";
        }
        if (answerMs > MIN_DEFAULT_ANSWER_MS) {
            return "answer_ms";
        }
        long shortWaitMs = Math.min(waitMs, SHORT_WAIT_MS);
        if (worstCaseMs(dialMs, silenceMs, shortWaitMs) <= stalenessLimitMs(dialect, shortWaitMs)) {
            return "wait_ms";
        }
        return !dialect.returnsFullSnapshots() && follow.size() > endpoints.size() ? "follow" : "endpoints";
    }

    /** Whether a dispatcher's share of the requests comes as fast as answers may. */
    boolean rateKeepsStalenessLimit(int dispatchers) {
        return MS_PER_SECOND * dispatchers <= requestsPerS * answerMs;
    }

    /** What a blocking query asks for, so that {@code waitMs} holds with what Consul adds. */
    long askedWaitMs() {
        return waitMs * CONSUL_EXTRA / (CONSUL_EXTRA + 1);
    }
}
