package maplespread.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplespread.decision.Dispatch.*;

/** A host for tests: records the node's actions and asserts the four rules on each. It models no servers. */
final class Host implements Actions {
    static final class Try {
        String worker;
        double sentAt;
        boolean over, neverRan;
    }

    static final class Call {
        ClassSpec spec;
        double deadline;
        int limit = Integer.MAX_VALUE; // of attempts, as when it was taken
        boolean ended;
        String end = "";
        final List<Try> tries = new ArrayList<>();
    }

    Settings set;
    final Map<Long, Call> calls = new HashMap<>();
    final Map<String, Entry> listed = new HashMap<>();
    final List<String> log = new ArrayList<>();
    final List<ListState> states = new ArrayList<>();
    final List<double[]> timers = new ArrayList<>();
    final List<String> probes = new ArrayList<>();
    final Set<String> mute = new HashSet<>();
    final Map<String, Report> reports = new HashMap<>();
    int watches, cancels, answered;
    boolean confirms = true; // a list held at the start is confirmed at once: nothing has changed
    double now = 1000;
    Logic node;

    Host(Settings set) {
        this.set = set;
        node = new Logic(set, 7, this);
    }

    static ClassSpec clazz(Effect effect, Group group) {
        return new ClassSpec(400, 2, 10000, 1, 0, effect, group, 15000, false, -1);
    }

    static Settings settings(ClassSpec spec, boolean copies, int balancers) {
        return settings(spec, copies, balancers, 0);
    }

    static Settings settings(ClassSpec spec, boolean copies, int balancers, int index) {
        return new Settings(
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
                new Permissions(true, true, copies, 4, 250, 2000, 5000),
                new Rules(1000, 10000, 0.3, 9000, 4, 1500, 8));
    }

    static Entry entry(String id, int cell, double up) {
        return new Entry(id, Health.ACTIVE, 1, 0, cell, 0, up);
    }

    long us() {
        return Math.round(now * 1000);
    }

    void list(ListKind kind, Entry... entries) {
        if (kind != ListKind.CHANGES) {
            listed.clear();
        }
        for (Entry e : entries) {
            listed.put(e.worker(), e);
        }
        node.list(us(), kind, 1, List.of(entries));
        if (kind == ListKind.HELD && confirms) {
            node.list(us(), ListKind.CHANGES, 1, List.of());
        }
        if (kind != ListKind.HELD || confirms) {
            node.listConfirmed(us());
        }
    }

    Call take(long id, double work) {
        return take(id, 0, work, 0);
    }

    Call take(long id, int cls, double work, double memory) {
        return take(id, cls, work, memory, set.classes().get(cls).deadlineMs());
    }

    /** With less left than the class's deadline, as a client's later try comes. */
    Call take(long id, int cls, double work, double memory, double leftMs) {
        Call c = new Call();
        c.spec = set.classes().get(cls);
        c.deadline = now + leftMs;
        c.limit = set.permissions().tryLimit();
        calls.put(id, c);
        node.request(us(), new Request(id, cls, 0, Math.round(c.deadline * 1000), work, 1, memory));
        answerProbes();
        return c;
    }

    /** Takes one under settings that no longer hold, as one that was read just before they changed. */
    Call takeUnder(Settings before, long id) {
        Call c = new Call();
        c.spec = before.classes().get(0);
        c.limit = before.permissions().tryLimit();
        c.deadline = now + c.spec.deadlineMs();
        calls.put(id, c);
        node.request(us(), new Request(id, 0, 0, Math.round(c.deadline * 1000), 100, 1, 0, null, before, 1));
        answerProbes();
        return c;
    }

    /** The watch, or the call for one, has failed. */
    void listFailed(ListLoss loss) {
        node.listFailed(us(), loss, 0);
    }

    void change(Settings next) {
        set = next;
        node.settings(us(), next);
    }

    /** Answers the probes sent so far, unless the worker is to stay mute; reports say what is set for it. */
    void answerProbes() {
        while (answered < probes.size()) {
            String w = probes.get(answered++);
            if (!mute.contains(w)) {
                node.probed(us(), w, Verdict.OK, 1, reports.get(w));
            }
        }
    }

    void settle(long id, Verdict v) {
        Call c = calls.get(id);
        int n = c.tries.size() - 1;
        settle(id, n, v);
    }

    void settle(long id, int n, Verdict v) {
        Call c = calls.get(id);
        Try t = c.tries.get(n);
        t.over = true;
        t.neverRan = v.neverRan();
        boolean was = c.ended;
        c.ended |= v == Verdict.OK;
        if (c.ended && !was) {
            c.end = "served";
        }
        node.outcome(us(), id, n, t.worker, v, now - t.sentAt, c.ended, null);
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
            node.timer(us(), (long) first[1]);
        }
        now = end;
    }

    static void rule(boolean ok, String what) {
        if (!ok) {
            throw new AssertionError(what);
        }
    }

    @Override
    public void send(long id, String worker) {
        Call c = calls.get(id);
        rule(!c.ended, "rule 1: a send after the end");
        rule(now < c.deadline, "rule 1: a send past the deadline");
        rule(listed.containsKey(worker) && listed.get(worker).health() == Health.ACTIVE, "rule 3: " + worker);
        int outNow = 0;
        for (Try t : c.tries) {
            outNow += t.over ? 0 : 1;
            if (!t.neverRan) {
                rule(c.spec.effect() != Effect.UNSAFE, "rule 2: unsafe sent twice");
                if (c.spec.effect() == Effect.KEYED) {
                    rule(now - t.sentAt <= c.spec.windowMs(), "rule 2: outside the window");
                    rule(c.spec.group() != Group.CELL || cell(t.worker) == cell(worker), "rule 2: outside the cell");
                }
            }
        }
        rule(outNow <= (set.permissions().secondCopies() ? 1 : 0), "rule 2: too many attempts out");
        rule(c.tries.size() < Math.min(c.limit, 4), "tryLimit");
        Try t = new Try();
        t.worker = worker;
        t.sentAt = now;
        c.tries.add(t);
    }

    private final Map<String, Integer> cells = new HashMap<>();

    private int cell(String worker) {
        Entry e = listed.get(worker);
        if (e != null) {
            cells.put(worker, e.cell());
        }
        return cells.getOrDefault(worker, 0);
    }

    @Override
    public void refuse(long id, double pauseMs, Refusal why) {
        Call c = calls.get(id);
        rule(!c.ended, "rule 1: two answers");
        boolean ran = c.tries.stream().anyMatch(t -> !t.neverRan);
        rule(
                !ran
                        || c.spec.effect() == Effect.READ_LIKE
                        || c.spec.effect() == Effect.KEYED && c.spec.group() == Group.ALL,
                "rule 2: refused what may have run");
        rule(now <= c.deadline + set.rules().answerSlackMs(), "rule 1: late answer");
        rule(pauseMs <= set.permissions().maxPauseMs(), "pause beyond what clients follow");
        c.ended = true;
        c.end = "refused";
    }

    @Override
    public void fail(long id, Refusal why) {
        Call c = calls.get(id);
        rule(!c.ended, "rule 1: two answers");
        rule(now <= c.deadline + set.rules().answerSlackMs(), "rule 1: late answer");
        c.ended = true;
        c.end = "failed";
    }

    @Override
    public void cancel(long id, int attempt) {
        rule(set.permissions().cancel() && attempt < calls.get(id).tries.size(), "cancel");
        cancels++;
    }

    @Override
    public void probe(String worker) {
        rule(set.permissions().probing(), "probe");
        probes.add(worker);
    }

    @Override
    public void watch() {
        watches++;
    }

    @Override
    public void timer(double delayMs, long label) {
        timers.add(new double[] {now + delayMs, label});
    }

    @Override
    public void listState(ListState from, ListState to, double ageMs) {
        states.add(to);
    }

    @Override
    public void log(String line) {
        log.add(line);
    }
}
