package maplespread.lab.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import maplespread.policy.AttemptOutcome;
import maplespread.policy.DeduplicationScope;
import maplespread.policy.DispatchPolicy;
import maplespread.policy.EndpointEntry;
import maplespread.policy.EndpointLifecycle;
import maplespread.policy.EndpointListKind;
import maplespread.policy.EndpointListState;
import maplespread.policy.Idempotency;
import maplespread.policy.LoadReport;
import maplespread.policy.PlatformRules;
import maplespread.policy.PolicyActions;
import maplespread.policy.PolicyRequest;
import maplespread.policy.PolicySettings;
import maplespread.policy.RejectionReason;
import maplespread.policy.ReproducibleMath;
import maplespread.policy.RequestClass;
import maplespread.policy.SitePermissions;
import maplespread.policy.Tenant;
import maplespread.quota.TenantQuota;
import maplespread.subset.SubsetAssignment;

/**
 * A fleet in virtual time: many nodes, each with the real decision module and the real core that cuts its
 * list ({@link SubsetAssignment}), on one set of stand-in workers whose load figures are late. Deterministic by seed. What
 * is measured is what no single node sees: how the choices of all add up.
 */
public final class VirtualFleet {
    /** What is played; {@link #of} has the usual figures. */
    public static final class Plan {
        public int dispatchers;
        public int workers;
        public long seed = 1;
        public double seconds = 12;
        public double load = 0.65; // offered work over capacity
        public int told; // what the nodes are told; 0: the truth
        public double sharers; // dispatchers to meet at a worker; 0: all
        public boolean fair;
        public boolean naive; // least reported load in the module's place
        public double cold; // share of workers that restart at a third
        public double slow; // share of workers four times slower
        public double churn; // workers replaced, a second, share of all
        public boolean pauses; // a tenth of the nodes stand still for 2 s
        public boolean cuts; // a tenth of the nodes lose a quarter
        public boolean goes; // a tenth of the nodes die at half time
        public double greedy = 1; // what the first tenant asks, over its share
        public boolean oracle; // one node, no delay, fresh figures

        /** Workers restart cold, run slow and are replaced; dispatchers stand still, are cut off and go. */
        public void broken() {
            cold = 0.25;
            slow = 0.25;
            pauses = true;
            cuts = true;
            goes = true;
            churn = 0.01;
        }

        /** So many of both, nothing broken, all parts off. */
        public static Plan of(int dispatchers, int workers) {
            Plan p = new Plan();
            p.dispatchers = dispatchers;
            p.workers = workers;
            return p;
        }
    }

    /** What came of it. */
    public record Result(
            double worth,
            double herd,
            double overshoot,
            int overrun,
            double probes,
            double unfair,
            long jobs,
            long twice) {}

    static final double[] SHARES = {0.4, 0.3, 0.2, 0.1};
    private static final double AIM = 300;
    private static final double STRETCH = 2;
    private static final double DEADLINE = 5000;
    private static final double MEAN = 300; // work of a job
    private static final double HERD_MS = 100; // a tick, for the herd
    private static final double FAIR_MS = 10_000;
    private static final double FALL = 4;
    private static final int SLOTS = 4;

    private record Due(double at, long order, Runnable work) implements Comparable<Due> {
        @Override
        public int compareTo(Due o) {
            return at != o.at ? Double.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    private final Plan plan;
    private final SplittableRandom random;
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private final List<Worker> workers = new ArrayList<>();
    private final Map<String, Worker> byId = new HashMap<>();
    private final List<Node> nodes = new ArrayList<>();
    private double now = 1000;
    private long order;
    private double offered;
    private double served;
    private double worstOvershoot;
    private int overruns;
    private long probes;
    private long jobs;
    private long twice;
    private final List<Double> herds = new ArrayList<>();
    private final double[] asked = new double[SHARES.length];
    private final double[] got = new double[SHARES.length];
    private double unfair;

    public VirtualFleet(Plan plan) {
        this.plan = plan;
        random = new SplittableRandom(plan.seed);
    }

    private void after(double ms, Runnable work) {
        due.add(new Due(now + ms, ++order, work));
    }

    // ------------------------------------------------------------ workers

    private final class Worker {
        final String id;
        final WorkerModel<Job> model;
        final int zone;
        boolean over;
        double util;
        double free = SLOTS;
        int tick; // sends in this one
        double woken = Double.POSITIVE_INFINITY;

        Worker(int number, double startedMs) {
            id = "w-" + number;
            zone = number % 4;
            double speed = 0.7 + random.nextDouble() * 1.3;
            model = new WorkerModel<>(new WorkerModel.Kind(SLOTS, speed, 0.12, 20_000, FALL, 1000), startedMs);
        }

        void came(Job job) {
            if (over) {
                job.ended(AttemptOutcome.RESET);
                return;
            }
            tick++;
            if (job.unsafe && ++job.runs > 1) {
                twice++;
            }
            model.submit(now, job, job.actual);
            step();
        }

        void step() {
            for (WorkerModel.Step<Job> s : model.advance(now)) {
                Job job = s.job();
                int attempt = job.attempt;
                if (s.done()) {
                    job.node.hear(this, () -> job.outcome(attempt, AttemptOutcome.SERVED));
                } else {
                    job.node.hear(this, () -> job.started(attempt));
                }
            }
            if (model.nextMs() < woken) {
                woken = model.nextMs();
                after(woken - now, () -> {
                    woken = Double.POSITIVE_INFINITY;
                    step();
                });
            }
        }

        void figure() {
            util = model.util();
            free = model.freeSlots();
            if (!over) {
                after(1000, this::figure);
            }
        }
    }

    // ------------------------------------------------------------ nodes

    private final class Job {
        final Node node;
        final long id;
        final int tenant;
        final double work;
        final double actual;
        final double at;
        final boolean unsafe;
        int attempt = -1;
        int runs;
        boolean over;
        Worker worker;

        Job(Node node, long id, int tenant, double work, boolean unsafe) {
            this.node = node;
            this.id = id;
            this.tenant = tenant;
            this.work = work;
            this.unsafe = unsafe;
            actual = work * (0.7 + 0.6 * random.nextDouble());
            at = now;
        }

        void started(int n) {
            if (!over && n == attempt && !plan.naive) {
                node.module.attemptProgressed(us(), id, n, worker.id, true, 0);
            }
        }

        void ended(AttemptOutcome v) {
            int n = attempt;
            node.hear(worker, () -> outcome(n, v));
        }

        void outcome(int n, AttemptOutcome v) {
            if (n != attempt || over || settled) {
                return;
            }
            settled = true;
            boolean ok = v == AttemptOutcome.SERVED;
            if (ok) {
                over = true;
                if (now - at <= AIM + STRETCH * work) {
                    served += work;
                }
                got[tenant] += work;
                node.shares.requestCompleted(id, false);
                node.open.remove(id);
            }
            if (plan.naive) {
                return;
            }
            node.module.attemptEnded(us(), id, n, worker.id, v, now - sentAt, ok, null);
        }

        boolean settled = true; // no attempt is out
        double sentAt;
    }

    private long us() {
        return Math.round(now * 1000);
    }

    private final class Node implements PolicyActions {
        final int index;
        final int zone;
        final double weight;
        final SubsetAssignment cut;
        final DispatchPolicy module;
        final TenantQuota shares;
        final Map<Long, Job> open = new HashMap<>();
        final Set<Worker> lost = new HashSet<>();
        double pausedUntil;
        boolean dead;
        boolean dirty;
        long ids;

        Node(int index) {
            this.index = index;
            zone = index % 4;
            weight = 0.5 + random.nextDouble() * 1.5;
            int told = plan.told > 0 ? plan.told : plan.dispatchers;
            cut = new SubsetAssignment(index, told, new SubsetAssignment.SubsetSettings(plan.sharers, 20), 7);
            shares = new TenantQuota(settings(1).tenants());
            module = new DispatchPolicy(settings(Math.max(1, told)), plan.seed * 31 + index, this);
            list(EndpointListKind.CACHED_SNAPSHOT);
        }

        PolicySettings settings(int sharers) {
            List<Tenant> tenants = new ArrayList<>();
            double capacity = workers.stream()
                            .filter(w -> !w.over)
                            .mapToDouble(w -> w.model.capacity(1e12))
                            .sum()
                    * 1000
                    / MEAN;
            for (double share : SHARES) {
                tenants.add(new Tenant(plan.fair ? share * 0.85 * capacity : 0));
            }
            return new PolicySettings(
                    sharers,
                    index,
                    zone,
                    true,
                    true,
                    true,
                    2000,
                    true,
                    2,
                    0.1,
                    0.015,
                    List.of(spec(Idempotency.READ_LIKE, 2), spec(Idempotency.NON_IDEMPOTENT, 2)),
                    tenants,
                    new SitePermissions(true, true, true, 5, 250, 2000, 30_000),
                    new PlatformRules(250, 10_000, 0.12, 24_000, FALL, 1000, 8));
        }

        /** Tells the module what of the list is its own to use. */
        void list(EndpointListKind kind) {
            dirty = false;
            cut.clear();
            workers.stream().filter(w -> !w.over).forEach(w -> cut.put(w.id, w.zone));
            Set<String> mine = cut.workers();
            module.settingsChanged(us(), settings(cut.maxDispatchersPerWorker()));
            List<EndpointEntry> all = new ArrayList<>();
            for (Worker w : workers) {
                if (!w.over && mine.contains(w.id)) {
                    double since = w.model.startedMs() < 0 ? 0 : w.model.startedMs();
                    all.add(new EndpointEntry(w.id, EndpointLifecycle.ACTIVE, 1, 0, 0, w.zone, since));
                }
            }
            module.endpointListReceived(us(), kind, ++order, all);
            if (kind != EndpointListKind.CACHED_SNAPSHOT) {
                module.endpointListConfirmed(us());
            }
        }

        /** What reaches it over the network, later where it stands still, never where the way is cut. */
        void hear(Worker from, Runnable work) {
            double way = plan.oracle ? 0.1 : from.zone == zone ? 0.2 : 15;
            after(way, () -> {
                if (!dead && !lost.contains(from)) {
                    awake(work);
                }
            });
        }

        void awake(Runnable work) {
            if (now < pausedUntil) {
                after(pausedUntil - now + 0.01, () -> awake(work));
            } else if (!dead) {
                work.run();
            }
        }

        void take(int tenant, double work, boolean unsafe) {
            Job job = new Job(this, ++ids, tenant, work, unsafe);
            open.put(job.id, job);
            after(DEADLINE, () -> awake(() -> job.outcome(job.attempt, AttemptOutcome.TIMED_OUT)));
            if (plan.naive) {
                Worker best = null;
                for (Worker w : workers) {
                    if (!w.over && (best == null || w.util < best.util)) {
                        best = w;
                    }
                }
                job.attempt = 0;
                job.settled = false;
                job.worker = best;
                after(1, () -> job.worker.came(job));
                return;
            }
            module.requestAccepted(
                    us(),
                    new PolicyRequest(
                            job.id,
                            unsafe ? 1 : 0,
                            tenant,
                            us() + Math.round(DEADLINE * 1000),
                            work,
                            1,
                            0,
                            null,
                            null,
                            plan.fair ? shares.weight(now, job.id, tenant, true, plan.dispatchers) : 1,
                            null));
        }

        @Override
        public void sendAttempt(long id, String to) {
            Job job = open.get(id);
            Worker w = byId.get(to);
            job.attempt++;
            job.settled = false;
            job.worker = w;
            job.sentAt = now;
            int n = job.attempt;
            double way = plan.oracle ? 0.1 : w.zone == zone ? 0.2 : 15;
            if (lost.contains(w)) {
                after(250, () -> awake(() -> job.outcome(n, AttemptOutcome.CONNECT_FAILED)));
                return;
            }
            after(way, () -> {
                if (!job.over && n == job.attempt) {
                    w.came(job);
                }
            });
        }

        @Override
        public void reject(long id, double pauseMs, RejectionReason why) {
            end(id);
        }

        @Override
        public void fail(long id, RejectionReason why) {
            end(id);
        }

        private void end(long id) {
            Job job = open.remove(id);
            shares.requestCompleted(id, true);
            if (job != null) {
                job.over = true;
            }
        }

        @Override
        public void cancelAttempt(long id, int attempt) {
            Job job = open.get(id);
            if (job != null && attempt == job.attempt) {
                job.worker.model.drop(job);
                job.ended(AttemptOutcome.CANCELLED);
            }
        }

        @Override
        public void probe(String to) {
            probes++;
            Worker w = byId.get(to);
            if (lost.contains(w) || w.over) {
                after(250, () -> awake(() -> module.probeEnded(us(), to, AttemptOutcome.CONNECT_FAILED, 250, null)));
                return;
            }
            double way = plan.oracle ? 0.1 : 2;
            after(way, () -> {
                double util = plan.oracle ? w.model.util() : w.util;
                double free = plan.oracle ? w.model.freeSlots() : w.free;
                after(
                        way + (plan.oracle ? 0 : 150),
                        () -> awake(() -> module.probeEnded(
                                us(),
                                to,
                                AttemptOutcome.SERVED,
                                2 * way,
                                new LoadReport(Double.NaN, Double.NaN, util, Double.NaN, free, -1))));
            });
        }

        @Override
        public void watchEndpointList() {
            after(50, () -> awake(() -> list(EndpointListKind.FULL_SNAPSHOT)));
        }

        @Override
        public void scheduleTimer(double delayMs, long label) {
            after(Math.max(0.01, delayMs), () -> awake(() -> module.timerExpired(us(), label)));
        }

        @Override
        public void listStateChanged(EndpointListState from, EndpointListState to, double ageMs) {}

        @Override
        public void log(String line) {}
    }

    private static RequestClass spec(Idempotency effect, double worth) {
        return new RequestClass(AIM, STRETCH, DEADLINE, worth, 0, effect, DeduplicationScope.ALL, 5000, false, -1);
    }

    // ------------------------------------------------------------ the play

    public Result run() {
        for (int i = 0; i < plan.workers; i++) {
            add(-1e9);
        }
        for (int i = 0; i < plan.workers * plan.slow; i++) {
            workers.get(i * 3 % plan.workers).model.slow(4);
        }
        int count = plan.oracle ? 1 : plan.dispatchers;
        for (int i = 0; i < count; i++) {
            nodes.add(new Node(i));
        }
        double end = now + plan.seconds * 1000;
        double rate = plan.load
                * workers.stream().mapToDouble(w -> w.model.capacity(1e12)).sum()
                / MEAN;
        after(gap(rate), () -> arrive(rate, end));
        after(HERD_MS, () -> tick(end));
        after(Math.min(FAIR_MS, plan.seconds * 1000), this::window);
        faults();
        while (!due.isEmpty() && due.peek().at <= end) {
            Due next = due.remove();
            now = Math.max(now, next.at);
            next.work.run();
        }
        workers.forEach(this::tally);
        double[] sorted = herds.stream().mapToDouble(x -> x).sorted().toArray();
        double herd = sorted.length == 0 ? 0 : sorted[(int) (sorted.length * 0.99)];
        return new Result(
                served / Math.max(1, offered),
                herd,
                worstOvershoot,
                overruns,
                probes / (double) plan.workers / plan.seconds,
                unfair,
                jobs,
                twice);
    }

    private void add(double startedMs) {
        Worker w = new Worker(workers.size(), startedMs);
        workers.add(w);
        byId.put(w.id, w);
        after(random.nextDouble() * 1000, w::figure);
    }

    private void tally(Worker w) {
        worstOvershoot = Math.max(worstOvershoot, w.model.worst() / FALL);
        overruns += w.model.overrun() ? 1 : 0;
    }

    private double gap(double rate) {
        return -ReproducibleMath.log(1 - random.nextDouble()) / rate;
    }

    private void arrive(double rate, double end) {
        Node to = nodes.get(random.nextInt(nodes.size()));
        while (to.dead || random.nextDouble() * 2 > to.weight) {
            to = nodes.get(random.nextInt(nodes.size()));
        }
        int tenant = 0;
        double greed = now < 1000 + plan.seconds * 1000 / 3 ? 1 : plan.greedy;
        double t = random.nextDouble() * (1 - SHARES[0] + SHARES[0] * greed);
        double upTo = SHARES[0] * greed;
        while (t > upTo && tenant < SHARES.length - 1) {
            upTo += SHARES[++tenant];
        }
        double work = MEAN * ReproducibleMath.exp(0.8 * normal() - 0.32);
        boolean unsafe = random.nextInt(5) == 0;
        jobs++;
        offered += work;
        asked[tenant] += work;
        Node node = to;
        int whose = tenant;
        node.awake(() -> node.take(whose, work, unsafe));
        if (now < end) {
            after(gap(rate * (1 - SHARES[0] + SHARES[0] * greed)), () -> arrive(rate, end));
        }
    }

    private double normal() {
        double r = Math.sqrt(-2 * ReproducibleMath.log(1 - random.nextDouble()));
        return r * ReproducibleMath.cos(2 * Math.PI * random.nextDouble());
    }

    /**
     * Of one tick's sends, how many times its fair part the most chosen worker got, counted from 3 sends on.
     */
    private void tick(double end) {
        int all = 0;
        int most = 0;
        for (Worker w : workers) {
            all += w.tick;
            most = Math.max(most, w.tick);
            w.tick = 0;
        }
        if (all > 0) {
            herds.add(most / Math.max(3.0, all / (double) workers.size()));
        }
        if (now < end) {
            after(HERD_MS, () -> tick(end));
        }
    }

    /** How far a tenant's part of the served work is below what is owed to it; over ten seconds. */
    private void window() {
        double total = Arrays.stream(got).sum();
        double[] owed = owed(asked, SHARES, total);
        for (int i = 0; i < owed.length && total > 0; i++) {
            unfair = Math.max(unfair, (owed[i] - got[i]) / total);
        }
        Arrays.fill(asked, 0);
        Arrays.fill(got, 0);
        after(FAIR_MS, this::window);
    }

    /** Max-min by shares: what is left by those who ask for less than theirs goes to the others. */
    static double[] owed(double[] asked, double[] shares, double total) {
        double[] owed = new double[asked.length];
        boolean[] full = new boolean[asked.length];
        double left = total;
        for (int round = 0; round < asked.length; round++) {
            double open = 0;
            for (int i = 0; i < asked.length; i++) {
                open += full[i] ? 0 : shares[i];
            }
            boolean more = false;
            double given = left;
            for (int i = 0; i < asked.length; i++) {
                if (!full[i] && asked[i] <= given * shares[i] / open) {
                    full[i] = true;
                    more = true;
                    owed[i] = asked[i];
                    left -= asked[i];
                } else if (!full[i]) {
                    owed[i] = given * shares[i] / open;
                }
            }
            if (!more) {
                break;
            }
        }
        return owed;
    }

    private void faults() {
        double third = plan.seconds * 1000 / 3;
        after(third, () -> {
            for (int i = 0; i < plan.workers * plan.cold; i++) {
                replace(workers.get(i * 7 % plan.workers));
            }
            for (int i = 0; i < nodes.size(); i += 10) {
                Node n = nodes.get(i);
                n.pausedUntil = plan.pauses ? now + 2000 : 0;
                if (plan.cuts) {
                    for (int j = 0; j < plan.workers / 4; j++) {
                        n.lost.add(workers.get(j));
                    }
                }
            }
            after(
                    third,
                    () -> nodes.forEach(n -> {
                        n.lost.clear();
                        if (plan.goes && n.index % 10 == 5) {
                            n.dead = true;
                        }
                    }));
        });
        if (plan.churn > 0) {
            churn();
        }
    }

    private void churn() {
        after(1000 / (plan.churn * plan.workers), () -> {
            replace(workers.get(random.nextInt(workers.size())));
            churn();
        });
    }

    /** A worker goes and another one comes, cold; the nodes learn of it a second later, each at its time. */
    private void replace(Worker w) {
        if (w.over) {
            return;
        }
        w.over = true;
        tally(w);
        w.model.restart(now).forEach(job -> job.ended(AttemptOutcome.RESET));
        add(now);
        nodes.forEach(n -> {
            if (!n.dead && !n.dirty) {
                n.dirty = true;
                after(500 + random.nextDouble() * 500, () -> n.awake(() -> n.list(EndpointListKind.FULL_SNAPSHOT)));
            }
        });
    }
}
