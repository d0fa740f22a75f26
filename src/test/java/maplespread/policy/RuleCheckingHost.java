package maplespread.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A host for tests that records the policy's actions and asserts on each that it keeps the rules: one result for each
 * request and no send after it or past the deadline (rule 1), safe repeats (rule 2), only active listed workers (rule
 * 3), and what the site permits. It simulates no workers.
 */
final class RuleCheckingHost implements PolicyActions {
    static final class TestAttempt {
        String worker;
        double sentAtMs;
        boolean ended;
        boolean neverRan;
    }

    static final class TestRequest {
        RequestClass requestClass;
        double deadlineMs;

        /** Greatest number of attempts by the settings under which the request was accepted. */
        int maxAttempts = Integer.MAX_VALUE;

        boolean ended;

        /** "served", "rejected" or "failed"; empty: none yet. */
        String result = "";

        RejectionReason reason;
        final List<TestAttempt> attempts = new ArrayList<>();
    }

    PolicySettings settings;
    final Map<Long, TestRequest> requests = new HashMap<>();
    final Map<String, EndpointEntry> listedEntries = new HashMap<>();
    final List<String> log = new ArrayList<>();
    final List<EndpointListState> states = new ArrayList<>();

    /** Pending timers: when each is due, in milliseconds, and its label. */
    final List<double[]> timers = new ArrayList<>();

    final List<String> probes = new ArrayList<>();

    /** Workers that do not answer probes. */
    final Set<String> silentWorkers = new HashSet<>();

    /** Load reports with which workers answer probes. */
    final Map<String, LoadReport> reports = new HashMap<>();

    int watchCalls;
    int cancellations;
    int answeredProbes;

    /** Whether a cached list is confirmed at once, without changes. */
    boolean confirmsCachedList = true;

    double nowMs = 1000;
    DispatchPolicy policy;

    RuleCheckingHost(PolicySettings initialSettings) {
        this.settings = initialSettings;
        policy = new DispatchPolicy(initialSettings, 7, this);
    }

    static RuleCheckingHost withWorkers(Idempotency idempotency, DeduplicationScope scope, EndpointEntry... entries) {
        RuleCheckingHost host = new RuleCheckingHost(settings(requestClass(idempotency, scope), false, 1));
        host.receiveList(EndpointListKind.CACHED_SNAPSHOT, entries);
        return host;
    }

    static RuleCheckingHost withTwoWorkers() {
        return withWorkers(Idempotency.READ_LIKE, DeduplicationScope.ALL, entry("a", 0, 0), entry("b", 0, 0));
    }

    static RuleCheckingHost amongDispatchers(int dispatchers, EndpointEntry... entries) {
        RuleCheckingHost host = new RuleCheckingHost(
                settings(requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, dispatchers));
        host.receiveList(EndpointListKind.CACHED_SNAPSHOT, entries);
        return host;
    }

    static LoadReport report(double active, double freeSlots) {
        return new LoadReport(active, Double.NaN, Double.NaN, Double.NaN, freeSlots, Double.NaN);
    }

    static RequestClass requestClass(Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass(400, 2, 10000, 1, 0, idempotency, scope, 15000, false, -1);
    }

    static PolicySettings settings(RequestClass requestClass, boolean hedging, int dispatchers) {
        return settings(requestClass, hedging, dispatchers, 0);
    }

    static PolicySettings settings(RequestClass requestClass, boolean hedging, int dispatchers, int index) {
        return new PolicySettings(
                dispatchers,
                index,
                0,
                true,
                true,
                true,
                1000,
                true,
                2,
                0.1,
                0,
                List.of(requestClass),
                List.of(),
                new SitePermissions(true, true, hedging, 4, 250, 2000, 5000),
                new PlatformRules(1000, 10000, 0.3, 9000, 4, 1500, 8));
    }

    static EndpointEntry entry(String id, int cell, double startedAtMs) {
        return new EndpointEntry(id, EndpointLifecycle.ACTIVE, 1, 0, cell, 0, startedAtMs);
    }

    long nowUs() {
        return Math.round(nowMs * 1000);
    }

    void receiveList(EndpointListKind kind, EndpointEntry... entries) {
        if (kind != EndpointListKind.DELTA) {
            listedEntries.clear();
        }
        for (EndpointEntry entry : entries) {
            listedEntries.put(entry.worker(), entry);
        }
        policy.endpointListReceived(nowUs(), kind, 1, List.of(entries));
        if (kind == EndpointListKind.CACHED_SNAPSHOT && confirmsCachedList) {
            policy.endpointListReceived(nowUs(), EndpointListKind.DELTA, 1, List.of());
        }
        if (kind != EndpointListKind.CACHED_SNAPSHOT || confirmsCachedList) {
            policy.endpointListConfirmed(nowUs());
        }
    }

    /** Receives a change, without entries, from a source that does not confirm the list. */
    void receiveUnconfirmedChange() {
        policy.endpointListReceived(nowUs(), EndpointListKind.DELTA, 1, List.of());
    }

    TestRequest accept(long id, double workMs) {
        return accept(id, 0, workMs, 0);
    }

    TestRequest accept(long id, int requestClass, double workMs, double memory) {
        return accept(
                id,
                requestClass,
                workMs,
                memory,
                settings.classes().get(requestClass).deadlineMs());
    }

    /** Accepts a request with less time left than its class's deadline, as in a client's later attempt. */
    TestRequest accept(long id, int requestClass, double workMs, double memory, double remainingMs) {
        TestRequest request = new TestRequest();
        request.requestClass = settings.classes().get(requestClass);
        request.deadlineMs = nowMs + remainingMs;
        request.maxAttempts = settings.permissions().maxAttempts();
        requests.put(id, request);
        policy.requestAccepted(
                nowUs(),
                new PolicyRequest(id, requestClass, 0, Math.round(request.deadlineMs * 1000), workMs, 1, memory));
        answerProbes();
        return request;
    }

    /** Accepts a request under earlier settings, as one that was received just before they changed. */
    TestRequest acceptUnder(PolicySettings earlier, long id) {
        TestRequest request = new TestRequest();
        request.requestClass = earlier.classes().get(0);
        request.maxAttempts = earlier.permissions().maxAttempts();
        request.deadlineMs = nowMs + request.requestClass.deadlineMs();
        requests.put(id, request);
        policy.requestAccepted(
                nowUs(),
                new PolicyRequest(id, 0, 0, Math.round(request.deadlineMs * 1000), 100, 1, 0, null, earlier, 1, null));
        answerProbes();
        return request;
    }

    /** Reports that the watch of the endpoint list, or a poll for it, failed. */
    void listFailed(EndpointWatchFailure failure) {
        policy.endpointWatchFailed(nowUs(), failure, 0);
    }

    void changeSettings(PolicySettings next) {
        settings = next;
        policy.settingsChanged(nowUs(), next);
    }

    /** Answers the probes sent so far with the workers' load reports, except those of silent workers. */
    void answerProbes() {
        while (answeredProbes < probes.size()) {
            String worker = probes.get(answeredProbes++);
            if (!silentWorkers.contains(worker)) {
                policy.probeEnded(nowUs(), worker, AttemptOutcome.SERVED, 1, reports.get(worker));
            }
        }
    }

    void endAttempt(long id, AttemptOutcome outcome) {
        TestRequest request = requests.get(id);
        int number = request.attempts.size() - 1;
        endAttempt(id, number, outcome);
    }

    void endAttempt(long id, int number, AttemptOutcome outcome) {
        TestRequest request = requests.get(id);
        TestAttempt attempt = request.attempts.get(number);
        attempt.ended = true;
        attempt.neverRan = outcome.provesNeverRan();
        boolean endedBefore = request.ended;
        request.ended |= outcome == AttemptOutcome.SERVED;
        if (request.ended && !endedBefore) {
            request.result = "served";
        }
        policy.attemptEnded(
                nowUs(), id, number, attempt.worker, outcome, nowMs - attempt.sentAtMs, request.ended, null);
    }

    /** Advances the time and runs the policy's timers that expire. */
    void advance(double ms) {
        double endMs = nowMs + ms;
        while (true) {
            double[] first = null;
            for (double[] timer : timers) {
                if (timer[0] <= endMs && (first == null || timer[0] < first[0])) {
                    first = timer;
                }
            }
            if (first == null) {
                break;
            }
            timers.remove(first);
            nowMs = Math.max(nowMs, first[0]);
            policy.timerExpired(nowUs(), (long) first[1]);
        }
        nowMs = endMs;
    }

    static void requireRule(boolean holds, String rule) {
        if (!holds) {
            throw new AssertionError(rule);
        }
    }

    @Override
    public void sendAttempt(long id, String worker) {
        TestRequest request = requests.get(id);
        requireRule(!request.ended, "rule 1: a send after the result");
        requireRule(nowMs < request.deadlineMs, "rule 1: a send past the deadline");
        requireRule(
                listedEntries.containsKey(worker) && listedEntries.get(worker).lifecycle() == EndpointLifecycle.ACTIVE,
                "rule 3: a send to a worker that is not active: " + worker);
        int inFlight = 0;
        for (TestAttempt attempt : request.attempts) {
            inFlight += attempt.ended ? 0 : 1;
            if (!attempt.neverRan) {
                requireRule(
                        request.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT,
                        "rule 2: a non-idempotent request may run twice");
                if (request.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
                    requireRule(
                            nowMs - attempt.sentAtMs <= request.requestClass.deduplicationWindowMs(),
                            "rule 2: a repeat outside the deduplication window");
                    requireRule(
                            request.requestClass.deduplicationScope() != DeduplicationScope.CELL
                                    || cell(attempt.worker) == cell(worker),
                            "rule 2: a repeat outside the cell");
                }
            }
        }
        requireRule(inFlight <= (settings.permissions().hedging() ? 1 : 0), "rule 2: too many attempts in flight");
        requireRule(request.attempts.size() < Math.min(request.maxAttempts, 4), "more attempts than permitted");
        TestAttempt attempt = new TestAttempt();
        attempt.worker = worker;
        attempt.sentAtMs = nowMs;
        request.attempts.add(attempt);
    }

    private final Map<String, Integer> cells = new HashMap<>();

    private int cell(String worker) {
        EndpointEntry entry = listedEntries.get(worker);
        if (entry != null) {
            cells.put(worker, entry.cell());
        }
        return cells.getOrDefault(worker, 0);
    }

    @Override
    public void reject(long id, double retryAfterMs, RejectionReason reason) {
        TestRequest request = requests.get(id);
        requireRule(!request.ended, "rule 1: two results");
        boolean mayHaveRun = request.attempts.stream().anyMatch(attempt -> !attempt.neverRan);
        requireRule(
                !mayHaveRun
                        || request.requestClass.idempotency() == Idempotency.READ_LIKE
                        || request.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                && request.requestClass.deduplicationScope() == DeduplicationScope.ALL,
                "rule 2: a request that may have run was rejected");
        requireRule(
                nowMs <= request.deadlineMs + settings.rules().responseSlackMs(),
                "rule 1: a result after the deadline");
        requireRule(retryAfterMs <= settings.permissions().maxRetryAfterMs(), "a retry delay longer than permitted");
        request.ended = true;
        request.result = "rejected";
        request.reason = reason;
    }

    @Override
    public void fail(long id, RejectionReason reason) {
        TestRequest request = requests.get(id);
        requireRule(!request.ended, "rule 1: two results");
        requireRule(
                nowMs <= request.deadlineMs + settings.rules().responseSlackMs(),
                "rule 1: a result after the deadline");
        request.ended = true;
        request.result = "failed";
        request.reason = reason;
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        requireRule(
                settings.permissions().cancellation()
                        && attempt < requests.get(id).attempts.size(),
                "cancellation is not permitted, or the attempt does not exist");
        cancellations++;
    }

    @Override
    public void probe(String worker) {
        requireRule(settings.permissions().probing(), "probing is not permitted");
        probes.add(worker);
    }

    @Override
    public void watchEndpointList() {
        watchCalls++;
    }

    @Override
    public void scheduleTimer(double delayMs, long label) {
        timers.add(new double[] {nowMs + delayMs, label});
    }

    @Override
    public void listStateChanged(EndpointListState from, EndpointListState to, double ageMs) {
        states.add(to);
    }

    @Override
    public void log(String line) {
        log.add(line);
    }
}
