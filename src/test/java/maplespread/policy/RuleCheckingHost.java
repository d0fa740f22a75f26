package maplespread.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A host for tests: records the node's actions and asserts the four rules on each. It models no servers. */
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
        int maxAttempts = Integer.MAX_VALUE; // as when it was accepted
        boolean ended;
        String result = "";
        RejectionReason reason;
        final List<TestAttempt> attempts = new ArrayList<>();
    }

    PolicySettings settings;
    final Map<Long, TestRequest> requests = new HashMap<>();
    final Map<String, EndpointEntry> listedEntries = new HashMap<>();
    final List<String> log = new ArrayList<>();
    final List<EndpointListState> states = new ArrayList<>();
    final List<double[]> timers = new ArrayList<>();
    final List<String> probes = new ArrayList<>();
    final Set<String> silentWorkers = new HashSet<>();
    final Map<String, LoadReport> reports = new HashMap<>();
    int watchCalls;
    int cancellations;
    int answeredProbes;
    boolean confirmsCachedList = true; // a cached list is confirmed at once: nothing has changed
    double nowMs = 1000;
    DispatchPolicy policy;

    RuleCheckingHost(PolicySettings set) {
        this.settings = set;
        policy = new DispatchPolicy(set, 7, this);
    }

    static RuleCheckingHost withWorkers(Idempotency effect, DeduplicationScope group, EndpointEntry... entries) {
        RuleCheckingHost host = new RuleCheckingHost(settings(requestClass(effect, group), false, 1));
        host.receiveList(EndpointListKind.CACHED_SNAPSHOT, entries);
        return host;
    }

    static RuleCheckingHost withTwoWorkers() {
        return withWorkers(Idempotency.READ_LIKE, DeduplicationScope.ALL, entry("a", 0, 0), entry("b", 0, 0));
    }

    static RuleCheckingHost amongDispatchers(int nodes, EndpointEntry... entries) {
        RuleCheckingHost host = new RuleCheckingHost(
                settings(requestClass(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, nodes));
        host.receiveList(EndpointListKind.CACHED_SNAPSHOT, entries);
        return host;
    }

    static LoadReport report(double active, double free) {
        return new LoadReport(active, Double.NaN, Double.NaN, Double.NaN, free, Double.NaN);
    }

    static RequestClass requestClass(Idempotency effect, DeduplicationScope group) {
        return new RequestClass(400, 2, 10000, 1, 0, effect, group, 15000, false, -1);
    }

    static PolicySettings settings(RequestClass spec, boolean copies, int balancers) {
        return settings(spec, copies, balancers, 0);
    }

    static PolicySettings settings(RequestClass spec, boolean copies, int balancers, int index) {
        return new PolicySettings(
                balancers,
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
                List.of(spec),
                List.of(),
                new SitePermissions(true, true, copies, 4, 250, 2000, 5000),
                new PlatformRules(1000, 10000, 0.3, 9000, 4, 1500, 8));
    }

    static EndpointEntry entry(String id, int cell, double up) {
        return new EndpointEntry(id, EndpointLifecycle.ACTIVE, 1, 0, cell, 0, up);
    }

    long nowUs() {
        return Math.round(nowMs * 1000);
    }

    void receiveList(EndpointListKind kind, EndpointEntry... entries) {
        if (kind != EndpointListKind.DELTA) {
            listedEntries.clear();
        }
        for (EndpointEntry e : entries) {
            listedEntries.put(e.worker(), e);
        }
        policy.endpointListReceived(nowUs(), kind, 1, List.of(entries));
        if (kind == EndpointListKind.CACHED_SNAPSHOT && confirmsCachedList) {
            policy.endpointListReceived(nowUs(), EndpointListKind.DELTA, 1, List.of());
        }
        if (kind != EndpointListKind.CACHED_SNAPSHOT || confirmsCachedList) {
            policy.endpointListConfirmed(nowUs());
        }
    }

    TestRequest accept(long id, double work) {
        return accept(id, 0, work, 0);
    }

    TestRequest accept(long id, int cls, double work, double memory) {
        return accept(id, cls, work, memory, settings.classes().get(cls).deadlineMs());
    }

    /** With less time left than the class's deadline, as in a client's later attempt. */
    TestRequest accept(long id, int cls, double work, double memory, double leftMs) {
        TestRequest request = new TestRequest();
        request.requestClass = settings.classes().get(cls);
        request.deadlineMs = nowMs + leftMs;
        request.maxAttempts = settings.permissions().maxAttempts();
        requests.put(id, request);
        policy.requestAccepted(
                nowUs(), new PolicyRequest(id, cls, 0, Math.round(request.deadlineMs * 1000), work, 1, memory));
        answerProbes();
        return request;
    }

    /** Accepts one under settings that are not in force any more, as one that was read just before they changed. */
    TestRequest acceptUnder(PolicySettings before, long id) {
        TestRequest request = new TestRequest();
        request.requestClass = before.classes().get(0);
        request.maxAttempts = before.permissions().maxAttempts();
        request.deadlineMs = nowMs + request.requestClass.deadlineMs();
        requests.put(id, request);
        policy.requestAccepted(
                nowUs(),
                new PolicyRequest(id, 0, 0, Math.round(request.deadlineMs * 1000), 100, 1, 0, null, before, 1, null));
        answerProbes();
        return request;
    }

    /** The watch, or the call for one, has failed. */
    void listFailed(EndpointWatchFailure loss) {
        policy.endpointWatchFailed(nowUs(), loss, 0);
    }

    void changeSettings(PolicySettings next) {
        settings = next;
        policy.settingsChanged(nowUs(), next);
    }

    /** Answers the probes sent so far, unless the worker is to stay silent, with the report set for it. */
    void answerProbes() {
        while (answeredProbes < probes.size()) {
            String w = probes.get(answeredProbes++);
            if (!silentWorkers.contains(w)) {
                policy.probeEnded(nowUs(), w, AttemptOutcome.SERVED, 1, reports.get(w));
            }
        }
    }

    void endAttempt(long id, AttemptOutcome outcome) {
        TestRequest request = requests.get(id);
        int n = request.attempts.size() - 1;
        endAttempt(id, n, outcome);
    }

    void endAttempt(long id, int n, AttemptOutcome outcome) {
        TestRequest request = requests.get(id);
        TestAttempt attempt = request.attempts.get(n);
        attempt.ended = true;
        attempt.neverRan = outcome.provesNeverRan();
        boolean was = request.ended;
        request.ended |= outcome == AttemptOutcome.SERVED;
        if (request.ended && !was) {
            request.result = "served";
        }
        policy.attemptEnded(nowUs(), id, n, attempt.worker, outcome, nowMs - attempt.sentAtMs, request.ended, null);
    }

    /** Lets time pass, firing the policy's timers. */
    void advance(double ms) {
        double end = nowMs + ms;
        while (true) {
            double[] first = null;
            for (double[] attempt : timers) {
                if (attempt[0] <= end && (first == null || attempt[0] < first[0])) {
                    first = attempt;
                }
            }
            if (first == null) {
                break;
            }
            timers.remove(first);
            nowMs = Math.max(nowMs, first[0]);
            policy.timerExpired(nowUs(), (long) first[1]);
        }
        nowMs = end;
    }

    static void requireRule(boolean ok, String what) {
        if (!ok) {
            throw new AssertionError(what);
        }
    }

    @Override
    public void sendAttempt(long id, String worker) {
        TestRequest request = requests.get(id);
        requireRule(!request.ended, "rule 1: a send after the end");
        requireRule(nowMs < request.deadlineMs, "rule 1: a send past the deadline");
        requireRule(
                listedEntries.containsKey(worker) && listedEntries.get(worker).lifecycle() == EndpointLifecycle.ACTIVE,
                "rule 3: " + worker);
        int outNow = 0;
        for (TestAttempt attempt : request.attempts) {
            outNow += attempt.ended ? 0 : 1;
            if (!attempt.neverRan) {
                requireRule(
                        request.requestClass.idempotency() != Idempotency.NON_IDEMPOTENT, "rule 2: unsafe sent twice");
                if (request.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
                    requireRule(
                            nowMs - attempt.sentAtMs <= request.requestClass.deduplicationWindowMs(),
                            "rule 2: outside the window");
                    requireRule(
                            request.requestClass.deduplicationScope() != DeduplicationScope.CELL
                                    || cell(attempt.worker) == cell(worker),
                            "rule 2: outside the cell");
                }
            }
        }
        requireRule(outNow <= (settings.permissions().hedging() ? 1 : 0), "rule 2: too many attempts out");
        requireRule(request.attempts.size() < Math.min(request.maxAttempts, 4), "tryLimit");
        TestAttempt attempt = new TestAttempt();
        attempt.worker = worker;
        attempt.sentAtMs = nowMs;
        request.attempts.add(attempt);
    }

    private final Map<String, Integer> cells = new HashMap<>();

    private int cell(String worker) {
        EndpointEntry e = listedEntries.get(worker);
        if (e != null) {
            cells.put(worker, e.cell());
        }
        return cells.getOrDefault(worker, 0);
    }

    @Override
    public void reject(long id, double pauseMs, RejectionReason why) {
        TestRequest request = requests.get(id);
        requireRule(!request.ended, "rule 1: two answers");
        boolean ran = request.attempts.stream().anyMatch(attempt -> !attempt.neverRan);
        requireRule(
                !ran
                        || request.requestClass.idempotency() == Idempotency.READ_LIKE
                        || request.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                && request.requestClass.deduplicationScope() == DeduplicationScope.ALL,
                "rule 2: refused what may have run");
        requireRule(nowMs <= request.deadlineMs + settings.rules().responseSlackMs(), "rule 1: late answer");
        requireRule(pauseMs <= settings.permissions().maxRetryAfterMs(), "pause beyond what clients follow");
        request.ended = true;
        request.result = "rejected";
        request.reason = why;
    }

    @Override
    public void fail(long id, RejectionReason why) {
        TestRequest request = requests.get(id);
        requireRule(!request.ended, "rule 1: two answers");
        requireRule(nowMs <= request.deadlineMs + settings.rules().responseSlackMs(), "rule 1: late answer");
        request.ended = true;
        request.result = "failed";
        request.reason = why;
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        requireRule(
                settings.permissions().cancellation()
                        && attempt < requests.get(id).attempts.size(),
                "cancel");
        cancellations++;
    }

    @Override
    public void probe(String worker) {
        requireRule(settings.permissions().probing(), "probe");
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
