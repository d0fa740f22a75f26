package maplespread.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * A seeded virtual fleet around one {@link DispatchPolicy}. Its clients, workers and discovery react to the node's
 * actions, and every action goes into a hash with its arguments as exact bits, so that any change of a decision, of an
 * arithmetic order or of a random draw changes the hash. The model is a driver, not a judge: it checks no rule.
 */
final class ReplayFleet implements PolicyActions {
    /** Which figures the workers' load reports have. */
    enum ReportFields {
        NONE,
        ACTIVE_AND_FREE_SLOTS,
        FREE_SLOTS,
        SERVICE_TIME
    }

    /** What one replay varies; {@code load}: offered work over the fleet's capacity, as a mean over time. */
    record Plan(
            String name,
            PolicySettings settings,
            int workers,
            int slots,
            double load,
            boolean keyed,
            ReportFields reports,
            int seconds) {}

    private record Due(long atUs, long order, Runnable work) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
        }
    }

    private static final long START_US = 1_000_000_000L;
    private static final double MEAN_WORK_MS = 60;
    private final Plan plan;
    private final SplittableRandom random;
    private final ActionDigest digest = new ActionDigest();
    private final DispatchPolicy policy;
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private final List<ReplayModel.ModelWorker> workers = new ArrayList<>();
    private final Map<String, ReplayModel.ModelWorker> byId = new HashMap<>();
    private final Map<Long, ReplayModel.Call> calls = new HashMap<>();
    private PolicySettings settings;
    private PolicySettings before;
    private long nowUs = START_US;
    private long order;
    private long lastId;
    private long events;
    private double capacity; // work in ms a ms
    private double discoveryBackMs;
    private long version = 1;

    ReplayFleet(Plan plan, long seed) {
        this.plan = plan;
        random = new SplittableRandom(seed * 1_000_003 + plan.name().hashCode());
        settings = plan.settings();
        before = settings;
        policy = new DispatchPolicy(settings, seed, this);
        for (int i = 0; i < plan.workers(); i++) {
            double speed = 0.5 + 1.5 * random.nextDouble();
            int kind = i % 3 == 0 ? 1 : 0;
            add(new ReplayModel.ModelWorker("10.0.0." + i + ":9000", i % 3, i % 5, kind, plan.slots() + i % 2, speed));
        }
    }

    private void add(ReplayModel.ModelWorker worker) {
        workers.add(worker);
        byId.put(worker.id, worker);
        capacity += worker.speed * worker.slots;
    }

    /** Plays the whole and returns what was counted and the hash of all actions, as one line. */
    String play() {
        receiveList(EndpointListKind.CACHED_SNAPSHOT);
        after(20 + random.nextInt(300), () -> {
            receiveList(EndpointListKind.FULL_SNAPSHOT);
            confirm();
        });
        after(1, this::arrival);
        after(300, this::disturb);
        after(500, this::strayEvent);
        long endUs = START_US + plan.seconds() * 1_000_000L;
        while (!due.isEmpty() && due.peek().atUs() <= endUs) {
            Due next = due.remove();
            nowUs = Math.max(nowUs, next.atUs());
            next.work().run();
            if (++events % 50 == 0) {
                put('#', policy.avoidedWorkers(), policy.endpointListUsable(nowUs) ? 1 : 0);
            }
        }
        return digest.summary(events);
    }

    // ------------------------------------------------------------ clients

    private void arrival() {
        double wave = 1 + 0.6 * StrictMath.sin((nowUs - START_US) / 4e6);
        after(-StrictMath.log(1 - random.nextDouble()) * MEAN_WORK_MS / (capacity * plan.load() * wave), this::arrival);
        int cls = random.nextInt(settings.classes().size());
        request(cls, settings.classes().get(cls).deadlineMs(), true);
    }

    private void request(int cls, double leftMs, boolean mayRepeat) {
        PolicySettings under = chance(0.05) && cls < before.classes().size() ? before : null;
        double work = MEAN_WORK_MS * -StrictMath.log(1 - random.nextDouble()) + 1;
        double hint = chance(0.1) ? Double.NaN : chance(0.01) ? 1e12 : work * (0.5 + random.nextDouble());
        double slots = chance(0.1) ? 2 : chance(0.01) ? 1e6 : 1;
        double memory = chance(0.1) ? 1 + random.nextInt(2) : 0;
        String key = plan.keyed() ? "key-" + random.nextInt(1 + random.nextInt(40)) : chance(0.02) ? "" : null;
        double counts = chance(0.8) ? 1 : 4 * random.nextDouble();
        Predicate<String> among = chance(0.05) ? worker -> worker.hashCode() % 3 != 0 : null;
        RequestClass spec = (under == null ? settings : under).classes().get(cls);
        ReplayModel.Call call = new ReplayModel.Call(++lastId, cls, ms() + leftMs, slots > 100 ? 1 : slots, work, spec);
        calls.put(call.id, call);
        policy.requestAccepted(
                nowUs,
                new PolicyRequest(
                        call.id,
                        cls,
                        random.nextInt(2),
                        Math.round(call.deadlineMs * 1000),
                        hint,
                        slots,
                        memory,
                        key,
                        under,
                        counts,
                        among));
        after(leftMs, () -> leave(call));
        if (chance(0.01)) {
            after(leftMs * random.nextDouble(), () -> leave(call));
        }
        if (mayRepeat && chance(0.3)) { // where it is refused soon, its client comes again
            after(40, () -> {
                if (call.ended && call.jobs.isEmpty() && leftMs > 100) {
                    request(cls, leftMs - 40, false);
                }
            });
        }
    }

    private void leave(ReplayModel.Call call) {
        if (!call.ended) {
            call.ended = true;
            policy.requestAbandoned(nowUs, call.id);
        }
        if (call.jobs.stream().allMatch(job -> job.over)) {
            calls.remove(call.id);
        }
    }

    // ------------------------------------------------------------ workers

    private void reach(ReplayModel.Job job) {
        ReplayModel.ModelWorker worker = job.worker;
        double fate = random.nextDouble();
        if (worker.unreachable) {
            after(settings.permissions().connectTimeoutMs(), () -> end(job, AttemptOutcome.CONNECT_FAILED));
        } else if (!worker.up) {
            end(job, AttemptOutcome.CONNECT_FAILED);
        } else if (worker.hanging || fate < 0.004) { // its connection is dead, or the worker
            double waitMs = Math.min(2500, Math.max(1, job.call.deadlineMs - ms()));
            after(waitMs, () -> end(job, AttemptOutcome.TIMED_OUT));
        } else if (fate < 0.006) {
            end(job, AttemptOutcome.NEVER_SENT);
        } else if (fate < 0.008) {
            end(job, AttemptOutcome.STALE_CONNECTION_RESET);
        } else if (fate < 0.010) {
            end(job, AttemptOutcome.RESET);
        } else if (fate < 0.012 || worker.failingClass == job.call.cls) {
            end(job, AttemptOutcome.ERROR);
        } else if (worker.queue.size() > 6 * worker.slots || worker.health != EndpointLifecycle.ACTIVE && chance(0.7)) {
            end(job, AttemptOutcome.REJECTED);
        } else {
            worker.queue.add(job);
            startNext(worker);
        }
    }

    private void startNext(ReplayModel.ModelWorker worker) {
        while (!worker.queue.isEmpty()
                && (worker.running.isEmpty() || worker.usedSlots() + worker.queue.peek().call.slots <= worker.slots)) {
            ReplayModel.Job job = worker.queue.remove();
            if (job.over) {
                continue;
            }
            worker.running.add(job);
            double warm =
                    clampWarmth((ms() - worker.startedAtMs) / settings.rules().slowStartMs());
            job.startedAtMs = ms();
            job.takesMs = job.call.workMs / worker.speed / warm * worker.slowness * (0.8 + 0.4 * random.nextDouble());
            if (settings.workersReportStart() && chance(0.97)) {
                after(0.2, () -> progress(job, true, 0));
            }
            if (settings.progressIntervalMs() > 0) {
                after(settings.progressIntervalMs(), () -> goOn(job));
            }
            if (job.call.spec.streaming()) {
                after(job.takesMs / 2, () -> {
                    if (!job.over) {
                        policy.responseStarted(nowUs, job.call.id, job.attempt, worker.id);
                    }
                });
            }
            after(job.takesMs, () -> finish(job));
        }
    }

    private static double clampWarmth(double warm) {
        return Math.max(0.1, Math.min(1, warm));
    }

    private void progress(ReplayModel.Job job, boolean started, double share) {
        if (!job.over) {
            policy.attemptProgressed(nowUs, job.call.id, job.attempt, job.worker.id, started, share);
        }
    }

    private void goOn(ReplayModel.Job job) {
        if (!job.over) {
            progress(job, false, (ms() - job.startedAtMs) / job.takesMs * (chance(0.02) ? 0.5 : 1));
            after(settings.progressIntervalMs(), () -> goOn(job));
        }
    }

    private void finish(ReplayModel.Job job) {
        job.worker.lastServiceMs = job.takesMs;
        end(job, AttemptOutcome.SERVED);
    }

    private void end(ReplayModel.Job job, AttemptOutcome verdict) {
        ReplayModel.ModelWorker worker = job.worker;
        worker.running.remove(job);
        worker.queue.remove(job);
        if (job.over) {
            return;
        }
        job.over = true;
        job.call.ended |= verdict == AttemptOutcome.SERVED;
        double lagMs = ms() - job.sentAtMs;
        LoadReport report = verdict == AttemptOutcome.SERVED || chance(0.3) ? report(worker) : null;
        policy.attemptEnded(nowUs, job.call.id, job.attempt, worker.id, verdict, lagMs, job.call.ended, report);
        startNext(worker);
    }

    private LoadReport report(ReplayModel.ModelWorker worker) {
        double nan = Double.NaN;
        if (chance(0.003)) {
            return new LoadReport(1e7, 0, 0, 1, 1e7, 0); // absurd
        }
        int active = worker.running.size() + worker.queue.size();
        double free = Math.max(0, worker.slots - worker.usedSlots());
        double memory = chance(0.5) ? nan : free;
        return switch (plan.reports()) {
            case NONE -> null;
            case ACTIVE_AND_FREE_SLOTS ->
                new LoadReport(active + random.nextInt(2), worker.queue.size(), 0.5, nan, free, memory);
            case FREE_SLOTS -> new LoadReport(nan, nan, nan, worker.lastServiceMs, free, memory);
            case SERVICE_TIME -> new LoadReport(nan, nan, 0.9, worker.lastServiceMs, nan, nan);
        };
    }

    private void crash(ReplayModel.ModelWorker worker, double downMs) {
        worker.up = false;
        List<ReplayModel.Job> lost = new ArrayList<>(worker.running);
        lost.addAll(worker.queue);
        worker.running.clear();
        worker.queue.clear();
        for (ReplayModel.Job job : lost) {
            after(random.nextInt(5), () -> end(job, AttemptOutcome.RESET));
        }
        after(downMs, () -> {
            worker.up = true;
            worker.startedAtMs = ms();
            if (chance(0.7)) {
                changed(worker);
            }
        });
    }

    // ------------------------------------------------------------ discovery

    private boolean discoveryDown() {
        return ms() < discoveryBackMs;
    }

    private EndpointEntry entry(ReplayModel.ModelWorker worker) {
        return new EndpointEntry(
                worker.id, worker.health, 1, worker.kind, worker.cell, worker.zone, worker.startedAtMs);
    }

    private void receiveList(EndpointListKind kind) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (ReplayModel.ModelWorker worker : workers) {
            if (worker.listed) {
                entries.add(entry(worker));
            }
        }
        policy.endpointListReceived(nowUs, kind, ++version, entries);
    }

    private void changed(ReplayModel.ModelWorker worker) {
        if (!discoveryDown()) {
            policy.endpointListReceived(nowUs, EndpointListKind.DELTA, ++version, List.of(entry(worker)));
        }
    }

    private void confirm() {
        policy.endpointListConfirmed(nowUs);
    }

    private void answerWatch() {
        if (discoveryDown()) {
            EndpointWatchFailure loss = chance(0.3) ? EndpointWatchFailure.REFUSED : EndpointWatchFailure.NO_ANSWER;
            double tookMs = loss == EndpointWatchFailure.REFUSED ? 1 : 400 + random.nextInt(1600);
            after(
                    tookMs,
                    () -> policy.endpointWatchFailed(
                            nowUs, chance(0.05) ? EndpointWatchFailure.NOT_ASKED : loss, tookMs));
        } else {
            receiveList(EndpointListKind.FULL_SNAPSHOT);
            confirm();
        }
    }

    private void discoveryFault() {
        double outageMs = chance(0.3) ? 9000 * random.nextDouble() : 400 * random.nextDouble();
        discoveryBackMs = ms() + outageMs;
        if (!settings.pollsDiscovery() || chance(0.3)) {
            after(outageMs + 50, this::answerWatch);
        }
        switch (random.nextInt(4)) {
            case 0 -> policy.endpointWatchFailed(nowUs, EndpointWatchFailure.ENDED, 0);
            case 1 -> policy.endpointWatchFailed(nowUs, EndpointWatchFailure.NO_ANSWER, 2000);
            case 2 -> {
                policy.endpointListUnconfirmed(nowUs, EndpointListDoubt.SILENT, 3000);
                after(100, this::answerWatch);
            }
            default -> {
                policy.endpointListUnconfirmed(nowUs, EndpointListDoubt.MOVED, 0);
                after(300, this::answerWatch);
            }
        }
    }

    // ------------------------------------------------------------ what goes wrong

    private void disturb() {
        after(50 + random.nextInt(400), this::disturb);
        ReplayModel.ModelWorker worker = workers.get(random.nextInt(workers.size()));
        double forMs = 200 + random.nextInt(3000);
        switch (random.nextInt(13)) {
            case 0 -> crash(worker, forMs);
            case 1 -> hang(worker, forMs);
            case 2 -> {
                worker.unreachable = true;
                after(forMs, () -> worker.unreachable = false);
            }
            case 3 -> {
                worker.slowness = 2 + 10 * random.nextDouble();
                after(forMs, () -> worker.slowness = 1);
            }
            case 4 -> {
                worker.failingClass = random.nextInt(settings.classes().size());
                after(forMs, () -> worker.failingClass = -1);
            }
            case 5 -> drain(worker, forMs);
            case 6 -> discoveryFault();
            case 7 -> nowUs += chance(0.3) ? 1000L * random.nextInt(1500) : 1000L * random.nextInt(60); // a stall
            case 8 -> changeSettings();
            case 9 -> restartAll();
            case 10 -> join();
            case 11 -> removeByFullList(worker, forMs);
            default -> {}
        }
    }

    private void hang(ReplayModel.ModelWorker worker, double forMs) {
        worker.hanging = true;
        after(forMs, () -> worker.hanging = false);
    }

    private void drain(ReplayModel.ModelWorker worker, double forMs) {
        worker.health = EndpointLifecycle.DRAINING;
        changed(worker);
        after(forMs, () -> {
            worker.health = EndpointLifecycle.REMOVED;
            changed(worker);
        });
        after(2 * forMs, () -> {
            worker.health = EndpointLifecycle.ACTIVE;
            worker.startedAtMs = ms();
            changed(worker);
        });
    }

    private void removeByFullList(ReplayModel.ModelWorker worker, double forMs) {
        worker.listed = false;
        if (!discoveryDown()) {
            receiveList(EndpointListKind.FULL_SNAPSHOT);
            confirm();
        }
        after(forMs, () -> {
            worker.listed = true;
            changed(worker);
        });
    }

    private void join() {
        if (workers.size() < 2 * plan.workers()) {
            int number = workers.size();
            ReplayModel.ModelWorker worker = new ReplayModel.ModelWorker(
                    "10.0.1." + number + ":9000", number % 3, number % 5, number % 2, plan.slots(), 1);
            worker.startedAtMs = ms();
            add(worker);
            changed(worker);
        }
    }

    private void restartAll() {
        if (chance(0.2)) {
            for (ReplayModel.ModelWorker worker : workers) {
                if (chance(0.7)) {
                    crash(worker, 100 + random.nextInt(400));
                }
            }
        }
    }

    private void changeSettings() {
        before = settings;
        List<RequestClass> classes = new ArrayList<>(settings.classes());
        if (chance(0.3) && classes.size() < 8) {
            classes.add(classes.get(random.nextInt(classes.size())));
        } else {
            int at = random.nextInt(classes.size());
            RequestClass old = classes.get(at);
            classes.set(
                    at,
                    new RequestClass(
                            old.latencyObjectiveMs() * (0.8 + 0.4 * random.nextDouble()),
                            old.stretchFactor(),
                            old.deadlineMs(),
                            old.priorityWeight(),
                            old.lateWeightShare(),
                            old.idempotency(),
                            old.deduplicationScope(),
                            old.deduplicationWindowMs(),
                            old.streaming(),
                            old.requiredWorkerKind()));
        }
        settings = settings.withClasses(classes);
        if (chance(0.3)) {
            settings = chance(0.5)
                    ? plan.settings().sharedByTwoProcesses().withClasses(classes)
                    : plan.settings().withClasses(classes);
        }
        policy.settingsChanged(nowUs, settings);
    }

    /** Events that do not fit: they cost that event and no more. */
    private void strayEvent() {
        after(700, this::strayEvent);
        long known = Math.max(1, lastId - random.nextInt(50));
        switch (random.nextInt(8)) {
            case 0 -> policy.attemptEnded(nowUs, lastId + 99, 0, "10.0.0.1:9000", AttemptOutcome.SERVED, 1, true, null);
            case 1 -> policy.attemptProgressed(nowUs, known, 7, "10.0.0.1:9000", true, 0);
            case 2 -> policy.attemptProgressed(nowUs, known, -1, "10.0.0.1:9000", false, 3);
            case 3 -> policy.probeEnded(nowUs, "10.9.9.9:1", AttemptOutcome.SERVED, 1, null);
            case 4 -> policy.requestAbandoned(nowUs, lastId + 99);
            case 5 -> policy.timerExpired(nowUs, 1 + 1 + known);
            case 6 -> rejected(() -> policy.requestAccepted(nowUs, new PolicyRequest(++lastId, -1, 0, nowUs, 1, 1, 0)));
            default -> rejected(() -> policy.responseStarted(nowUs - 10_000_000, known, 0, "10.0.0.1:9000"));
        }
    }

    private void rejected(Runnable event) {
        try {
            event.run();
            put('!', 0, 0);
        } catch (IllegalArgumentException | IllegalStateException e) {
            put('!', 1, e.getMessage().hashCode());
        }
    }

    // ------------------------------------------------------------ the node's actions

    @Override
    public void sendAttempt(long id, String worker) {
        count("send");
        put('S', id, worker.hashCode());
        ReplayModel.Call call = calls.get(id);
        ReplayModel.Job job = new ReplayModel.Job(call, call.jobs.size(), byId.get(worker), ms());
        call.jobs.add(job);
        after(0.1 + random.nextDouble() * (chance(0.01) ? 200 : 1), () -> reach(job));
    }

    @Override
    public void reject(long id, double pauseMs, RejectionReason why) {
        count("reject." + why);
        put('R', id, Double.doubleToLongBits(pauseMs));
        put('r', why.ordinal(), 0);
        calls.get(id).ended = true;
    }

    @Override
    public void fail(long id, RejectionReason why) {
        count("fail." + why);
        put('F', id, why.ordinal());
        calls.get(id).ended = true;
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        count("cancel");
        put('C', id, attempt);
        ReplayModel.Job job = calls.get(id).jobs.get(attempt);
        after(0.5, () -> end(job, AttemptOutcome.CANCELLED));
    }

    @Override
    public void probe(String worker) {
        count("probe");
        put('P', worker.hashCode(), 0);
        ReplayModel.ModelWorker probed = byId.get(worker);
        if (probed.hanging || chance(0.03)) {
            after(1000, () -> policy.probeEnded(nowUs, worker, AttemptOutcome.TIMED_OUT, 1000, null));
        } else if (!probed.up || probed.unreachable) {
            double lagMs = probed.up ? settings.permissions().connectTimeoutMs() : 0.5;
            after(lagMs, () -> policy.probeEnded(nowUs, worker, AttemptOutcome.CONNECT_FAILED, lagMs, null));
        } else {
            double lagMs = chance(0.05) ? 100 * random.nextDouble() : 0.3;
            after(lagMs, () -> policy.probeEnded(nowUs, worker, AttemptOutcome.SERVED, lagMs, report(probed)));
        }
    }

    @Override
    public void watchEndpointList() {
        count("watch");
        put('W', 0, 0);
        after(5 + random.nextInt(50), this::answerWatch);
    }

    @Override
    public void scheduleTimer(double delayMs, long label) {
        put('T', label, Double.doubleToLongBits(delayMs));
        after(delayMs, () -> policy.timerExpired(nowUs, label));
    }

    @Override
    public void listStateChanged(EndpointListState from, EndpointListState to, double ageMs) {
        count("list." + to);
        put('L', from.ordinal() * 10L + to.ordinal(), Double.doubleToLongBits(ageMs));
    }

    @Override
    public void log(String line) {
        count("log");
        put('G', line.hashCode(), 0);
    }

    // ------------------------------------------------------------ clock, chance and hash

    private double ms() {
        return nowUs / 1000.0;
    }

    private void after(double delayMs, Runnable work) {
        due.add(new Due(nowUs + Math.round(delayMs * 1000), ++order, work));
    }

    private boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    private void count(String what) {
        digest.count(what);
    }

    private void put(char kind, long first, long second) {
        digest.put(kind, nowUs, first, second);
    }
}
