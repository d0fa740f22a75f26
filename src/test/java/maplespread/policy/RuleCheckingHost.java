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
        double sentAt;
        boolean over, neverRan;
    }

    static final class TestRequest {
        RequestClass spec;
        double deadline;
        int limit = Integer.MAX_VALUE; // of attempts, as when it was taken
        boolean ended;
        String end = "";
        final List<TestAttempt> tries = new ArrayList<>();
    }

    PolicySettings set;
    final Map<Long, TestRequest> calls = new HashMap<>();
    final Map<String, EndpointEntry> listed = new HashMap<>();
    final List<String> log = new ArrayList<>();
    final List<EndpointListState> states = new ArrayList<>();
    final List<double[]> timers = new ArrayList<>();
    final List<String> probes = new ArrayList<>();
    final Set<String> mute = new HashSet<>();
    final Map<String, LoadReport> reports = new HashMap<>();
    int watches, cancels, answered;
    boolean confirms = true; // a list held at the start is confirmed at once: nothing has changed
    double now = 1000;
    DispatchPolicy node;

    RuleCheckingHost(PolicySettings set) {
        this.set = set;
        node = new DispatchPolicy(set, 7, this);
    }

    static RuleCheckingHost withWorkers(Idempotency effect, DeduplicationScope group, EndpointEntry... entries) {
        RuleCheckingHost host = new RuleCheckingHost(settings(clazz(effect, group), false, 1));
        host.list(EndpointListKind.CACHED_SNAPSHOT, entries);
        return host;
    }

    static RuleCheckingHost withTwoWorkers() {
        return withWorkers(Idempotency.READ_LIKE, DeduplicationScope.ALL, entry("a", 0, 0), entry("b", 0, 0));
    }

    static RuleCheckingHost amongDispatchers(int nodes, EndpointEntry... entries) {
        RuleCheckingHost host =
                new RuleCheckingHost(settings(clazz(Idempotency.READ_LIKE, DeduplicationScope.ALL), false, nodes));
        host.list(EndpointListKind.CACHED_SNAPSHOT, entries);
        return host;
    }

    static LoadReport report(double active, double free) {
        return new LoadReport(active, Double.NaN, Double.NaN, Double.NaN, free, Double.NaN);
    }

    static RequestClass clazz(Idempotency effect, DeduplicationScope group) {
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

    long us() {
        return Math.round(now * 1000);
    }

    void list(EndpointListKind kind, EndpointEntry... entries) {
        if (kind != EndpointListKind.DELTA) {
            listed.clear();
        }
        for (EndpointEntry e : entries) {
            listed.put(e.worker(), e);
        }
        node.endpointListReceived(us(), kind, 1, List.of(entries));
        if (kind == EndpointListKind.CACHED_SNAPSHOT && confirms) {
            node.endpointListReceived(us(), EndpointListKind.DELTA, 1, List.of());
        }
        if (kind != EndpointListKind.CACHED_SNAPSHOT || confirms) {
            node.endpointListConfirmed(us());
        }
    }

    TestRequest take(long id, double work) {
        return take(id, 0, work, 0);
    }

    TestRequest take(long id, int cls, double work, double memory) {
        return take(id, cls, work, memory, set.classes().get(cls).deadlineMs());
    }

    /** With less left than the class's deadline, as a client's later try comes. */
    TestRequest take(long id, int cls, double work, double memory, double leftMs) {
        TestRequest c = new TestRequest();
        c.spec = set.classes().get(cls);
        c.deadline = now + leftMs;
        c.limit = set.permissions().maxAttempts();
        calls.put(id, c);
        node.requestAccepted(us(), new PolicyRequest(id, cls, 0, Math.round(c.deadline * 1000), work, 1, memory));
        answerProbes();
        return c;
    }

    /** Takes one under settings that no longer hold, as one that was read just before they changed. */
    TestRequest takeUnder(PolicySettings before, long id) {
        TestRequest c = new TestRequest();
        c.spec = before.classes().get(0);
        c.limit = before.permissions().maxAttempts();
        c.deadline = now + c.spec.deadlineMs();
        calls.put(id, c);
        node.requestAccepted(
                us(), new PolicyRequest(id, 0, 0, Math.round(c.deadline * 1000), 100, 1, 0, null, before, 1, null));
        answerProbes();
        return c;
    }

    /** The watch, or the call for one, has failed. */
    void listFailed(EndpointWatchFailure loss) {
        node.endpointWatchFailed(us(), loss, 0);
    }

    void change(PolicySettings next) {
        set = next;
        node.settingsChanged(us(), next);
    }

    /** Answers the probes sent so far, unless the worker is to stay mute; reports say what is set for it. */
    void answerProbes() {
        while (answered < probes.size()) {
            String w = probes.get(answered++);
            if (!mute.contains(w)) {
                node.probeEnded(us(), w, AttemptOutcome.SERVED, 1, reports.get(w));
            }
        }
    }

    void settle(long id, AttemptOutcome v) {
        TestRequest c = calls.get(id);
        int n = c.tries.size() - 1;
        settle(id, n, v);
    }

    void settle(long id, int n, AttemptOutcome v) {
        TestRequest c = calls.get(id);
        TestAttempt t = c.tries.get(n);
        t.over = true;
        t.neverRan = v.provesNeverRan();
        boolean was = c.ended;
        c.ended |= v == AttemptOutcome.SERVED;
        if (c.ended && !was) {
            c.end = "served";
        }
        node.attemptEnded(us(), id, n, t.worker, v, now - t.sentAt, c.ended, null);
    }

    /** Lets time pass, firing the node's timers. */
    void pass(double ms) {
        double end = now + ms;
        while (true) {
            double[] first = null;
            for (double[] t : timers) {
                if (t[0] <= end && (first == null || t[0] < first[0])) {
                    first = t;
                }
            }
            if (first == null) {
                break;
            }
            timers.remove(first);
            now = Math.max(now, first[0]);
            node.timerExpired(us(), (long) first[1]);
        }
        now = end;
    }

    static void rule(boolean ok, String what) {
        if (!ok) {
            throw new AssertionError(what);
        }
    }

    @Override
    public void sendAttempt(long id, String worker) {
        TestRequest c = calls.get(id);
        rule(!c.ended, "rule 1: a send after the end");
        rule(now < c.deadline, "rule 1: a send past the deadline");
        rule(
                listed.containsKey(worker) && listed.get(worker).lifecycle() == EndpointLifecycle.ACTIVE,
                "rule 3: " + worker);
        int outNow = 0;
        for (TestAttempt t : c.tries) {
            outNow += t.over ? 0 : 1;
            if (!t.neverRan) {
                rule(c.spec.idempotency() != Idempotency.NON_IDEMPOTENT, "rule 2: unsafe sent twice");
                if (c.spec.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
                    rule(now - t.sentAt <= c.spec.deduplicationWindowMs(), "rule 2: outside the window");
                    rule(
                            c.spec.deduplicationScope() != DeduplicationScope.CELL || cell(t.worker) == cell(worker),
                            "rule 2: outside the cell");
                }
            }
        }
        rule(outNow <= (set.permissions().hedging() ? 1 : 0), "rule 2: too many attempts out");
        rule(c.tries.size() < Math.min(c.limit, 4), "tryLimit");
        TestAttempt t = new TestAttempt();
        t.worker = worker;
        t.sentAt = now;
        c.tries.add(t);
    }

    private final Map<String, Integer> cells = new HashMap<>();

    private int cell(String worker) {
        EndpointEntry e = listed.get(worker);
        if (e != null) {
            cells.put(worker, e.cell());
        }
        return cells.getOrDefault(worker, 0);
    }

    @Override
    public void reject(long id, double pauseMs, RejectionReason why) {
        TestRequest c = calls.get(id);
        rule(!c.ended, "rule 1: two answers");
        boolean ran = c.tries.stream().anyMatch(t -> !t.neverRan);
        rule(
                !ran
                        || c.spec.idempotency() == Idempotency.READ_LIKE
                        || c.spec.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                && c.spec.deduplicationScope() == DeduplicationScope.ALL,
                "rule 2: refused what may have run");
        rule(now <= c.deadline + set.rules().responseSlackMs(), "rule 1: late answer");
        rule(pauseMs <= set.permissions().maxRetryAfterMs(), "pause beyond what clients follow");
        c.ended = true;
        c.end = "refused";
    }

    @Override
    public void fail(long id, RejectionReason why) {
        TestRequest c = calls.get(id);
        rule(!c.ended, "rule 1: two answers");
        rule(now <= c.deadline + set.rules().responseSlackMs(), "rule 1: late answer");
        c.ended = true;
        c.end = "failed";
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        rule(set.permissions().cancellation() && attempt < calls.get(id).tries.size(), "cancel");
        cancels++;
    }

    @Override
    public void probe(String worker) {
        rule(set.permissions().probing(), "probe");
        probes.add(worker);
    }

    @Override
    public void watchEndpointList() {
        watches++;
    }

    @Override
    public void scheduleTimer(double delayMs, long label) {
        timers.add(new double[] {now + delayMs, label});
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
