package maplespread.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/**
 * Simulates a seeded fleet around one {@link DispatchPolicy}. Clients, workers and discovery react to the policy's
 * actions. Every action is hashed with the exact bits of its arguments, so that any change of a decision, of an order
 * of arithmetic operations or of a random draw changes the hash. The simulation drives the policy and checks no rules.
 */
final class ReplayFleet implements PolicyActions {
    /** The figures that workers' load reports contain. */
    enum ReportFields {
        NONE,
        ACTIVE_AND_FREE_SLOTS,
        FREE_SLOTS,
        SERVICE_TIME
    }

    /**
     * The parameters of one replay.
     *
     * @param slots slots of a worker
     * @param load mean offered work as a share of the fleet's capacity
     * @param keyed whether requests have affinity keys
     */
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
    private final PriorityQueue<Due> dueEvents = new PriorityQueue<>();
    private final List<ReplayModel.ModelWorker> workers = new ArrayList<>();
    private final Map<String, ReplayModel.ModelWorker> workersById = new HashMap<>();
    private final Map<Long, ReplayModel.Call> requests = new HashMap<>();
    private PolicySettings settings;
    private PolicySettings previousSettings;
    private long nowUs = START_US;
    private long order;
    private long lastId;
    private long events;

    /** Capacity of all workers, in milliseconds of work a millisecond. */
    private double capacity;

    /** Time in milliseconds from which discovery answers; 0: always. */
    private double discoveryUpAtMs;

    private long version = 1;

    ReplayFleet(Plan plan, long seed) {
        this.plan = plan;
        random = new SplittableRandom(seed * 1_000_003 + plan.name().hashCode());
        settings = plan.settings();
        previousSettings = settings;
        policy = new DispatchPolicy(settings, seed, this);
        for (int i = 0; i < plan.workers(); i++) {
            double speed = 0.5 + 1.5 * random.nextDouble();
            int kind = i % 3 == 0 ? 1 : 0;
            add(new ReplayModel.ModelWorker("10.0.0." + i + ":9000", i % 3, i % 5, kind, plan.slots() + i % 2, speed));
        }
    }

    private void add(ReplayModel.ModelWorker worker) {
        workers.add(worker);
        workersById.put(worker.id, worker);
        capacity += worker.speed * worker.slots;
    }

    /** Runs the replay and returns the counts and the hash of all actions as one line. */
    String run() {
        receiveList(EndpointListKind.CACHED_SNAPSHOT);
        after(20 + random.nextInt(300), () -> {
            receiveList(EndpointListKind.FULL_SNAPSHOT);
            confirm();
        });
        after(1, this::arrival);
        after(300, this::injectFault);
        after(500, this::strayEvent);
        long endUs = START_US + plan.seconds() * 1_000_000L;
        while (!dueEvents.isEmpty() && dueEvents.peek().atUs() <= endUs) {
            Due next = dueEvents.remove();
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
        int requestClass = random.nextInt(settings.classes().size());
        request(requestClass, settings.classes().get(requestClass).deadlineMs(), true);
    }

    private void request(int requestClass, double remainingMs, boolean mayRepeat) {
        PolicySettings acceptedSettings =
                chance(0.05) && requestClass < previousSettings.classes().size() ? previousSettings : null;
        double work = MEAN_WORK_MS * -StrictMath.log(1 - random.nextDouble()) + 1;
        double hint = chance(0.1) ? Double.NaN : chance(0.01) ? 1e12 : work * (0.5 + random.nextDouble());
        double slots = chance(0.1) ? 2 : chance(0.01) ? 1e6 : 1;
        double memory = chance(0.1) ? 1 + random.nextInt(2) : 0;
        String key = plan.keyed() ? "key-" + random.nextInt(1 + random.nextInt(40)) : chance(0.02) ? "" : null;
        double weight = chance(0.8) ? 1 : 4 * random.nextDouble();
        Predicate<String> eligibleWorkers = chance(0.05) ? worker -> worker.hashCode() % 3 != 0 : null;
        RequestClass classSettings = (acceptedSettings == null ? settings : acceptedSettings)
                .classes()
                .get(requestClass);
        ReplayModel.Call request = new ReplayModel.Call(
                ++lastId, requestClass, nowMs() + remainingMs, slots > 100 ? 1 : slots, work, classSettings);
        requests.put(request.id, request);
        policy.requestAccepted(
                nowUs,
                new PolicyRequest(
                        request.id,
                        requestClass,
                        random.nextInt(2),
                        Math.round(request.deadlineMs * 1000),
                        hint,
                        slots,
                        memory,
                        key,
                        acceptedSettings,
                        weight,
                        eligibleWorkers));
        after(remainingMs, () -> abandon(request));
        if (chance(0.01)) {
            after(remainingMs * random.nextDouble(), () -> abandon(request));
        }
        if (mayRepeat && chance(0.3)) { // the client retries if the request is rejected soon
            after(40, () -> {
                if (request.ended && request.attempts.isEmpty() && remainingMs > 100) {
                    request(requestClass, remainingMs - 40, false);
                }
            });
        }
    }

    private void abandon(ReplayModel.Call request) {
        if (!request.ended) {
            request.ended = true;
            policy.requestAbandoned(nowUs, request.id);
        }
        if (request.attempts.stream().allMatch(attempt -> attempt.ended)) {
            requests.remove(request.id);
        }
    }

    // ------------------------------------------------------------ workers

    private void reachWorker(ReplayModel.Job attempt) {
        ReplayModel.ModelWorker worker = attempt.worker;
        double draw = random.nextDouble();
        if (worker.unreachable) {
            after(settings.permissions().connectTimeoutMs(), () -> end(attempt, AttemptOutcome.CONNECT_FAILED));
        } else if (!worker.up) {
            end(attempt, AttemptOutcome.CONNECT_FAILED);
        } else if (worker.hanging || draw < 0.004) { // the connection is broken or the worker hangs
            double waitMs = Math.min(2500, Math.max(1, attempt.request.deadlineMs - nowMs()));
            after(waitMs, () -> end(attempt, AttemptOutcome.TIMED_OUT));
        } else if (draw < 0.006) {
            end(attempt, AttemptOutcome.NEVER_SENT);
        } else if (draw < 0.008) {
            end(attempt, AttemptOutcome.STALE_CONNECTION_RESET);
        } else if (draw < 0.010) {
            end(attempt, AttemptOutcome.RESET);
        } else if (draw < 0.012 || worker.failingClass == attempt.request.requestClass) {
            end(attempt, AttemptOutcome.ERROR);
        } else if (worker.queue.size() > 6 * worker.slots
                || worker.lifecycle != EndpointLifecycle.ACTIVE && chance(0.7)) {
            end(attempt, AttemptOutcome.REJECTED);
        } else {
            worker.queue.add(attempt);
            startNext(worker);
        }
    }

    private void startNext(ReplayModel.ModelWorker worker) {
        while (!worker.queue.isEmpty()
                && (worker.running.isEmpty()
                        || worker.usedSlots() + worker.queue.peek().request.slots <= worker.slots)) {
            ReplayModel.Job attempt = worker.queue.remove();
            if (attempt.ended) {
                continue;
            }
            worker.running.add(attempt);
            double capacityShare = clampCapacityShare(
                    (nowMs() - worker.startedAtMs) / settings.rules().slowStartMs());
            attempt.startedAtMs = nowMs();
            attempt.durationMs = attempt.request.workMs
                    / worker.speed
                    / capacityShare
                    * worker.slowness
                    * (0.8 + 0.4 * random.nextDouble());
            if (settings.workersReportStart() && chance(0.97)) {
                after(0.2, () -> reportProgress(attempt, true, 0));
            }
            if (settings.progressIntervalMs() > 0) {
                after(settings.progressIntervalMs(), () -> reportProgressPeriodically(attempt));
            }
            if (attempt.request.classSettings.streaming()) {
                after(attempt.durationMs / 2, () -> {
                    if (!attempt.ended) {
                        policy.responseStarted(nowUs, attempt.request.id, attempt.number, worker.id);
                    }
                });
            }
            after(attempt.durationMs, () -> finish(attempt));
        }
    }

    private static double clampCapacityShare(double capacityShare) {
        return Math.max(0.1, Math.min(1, capacityShare));
    }

    private void reportProgress(ReplayModel.Job attempt, boolean started, double share) {
        if (!attempt.ended) {
            policy.attemptProgressed(nowUs, attempt.request.id, attempt.number, attempt.worker.id, started, share);
        }
    }

    private void reportProgressPeriodically(ReplayModel.Job attempt) {
        if (!attempt.ended) {
            reportProgress(
                    attempt, false, (nowMs() - attempt.startedAtMs) / attempt.durationMs * (chance(0.02) ? 0.5 : 1));
            after(settings.progressIntervalMs(), () -> reportProgressPeriodically(attempt));
        }
    }

    private void finish(ReplayModel.Job attempt) {
        attempt.worker.lastServiceMs = attempt.durationMs;
        end(attempt, AttemptOutcome.SERVED);
    }

    private void end(ReplayModel.Job attempt, AttemptOutcome outcome) {
        ReplayModel.ModelWorker worker = attempt.worker;
        worker.running.remove(attempt);
        worker.queue.remove(attempt);
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        attempt.request.ended |= outcome == AttemptOutcome.SERVED;
        double durationMs = nowMs() - attempt.sentAtMs;
        LoadReport report = outcome == AttemptOutcome.SERVED || chance(0.3) ? report(worker) : null;
        policy.attemptEnded(
                nowUs,
                attempt.request.id,
                attempt.number,
                worker.id,
                outcome,
                durationMs,
                attempt.request.ended,
                report);
        startNext(worker);
    }

    private LoadReport report(ReplayModel.ModelWorker worker) {
        double unknown = Double.NaN;
        if (chance(0.003)) {
            return new LoadReport(1e7, 0, 0, 1, 1e7, 0); // implausible figures
        }
        int active = worker.running.size() + worker.queue.size();
        double free = Math.max(0, worker.slots - worker.usedSlots());
        double memory = chance(0.5) ? unknown : free;
        return switch (plan.reports()) {
            case NONE -> null;
            case ACTIVE_AND_FREE_SLOTS ->
                new LoadReport(active + random.nextInt(2), worker.queue.size(), 0.5, unknown, free, memory);
            case FREE_SLOTS -> new LoadReport(unknown, unknown, unknown, worker.lastServiceMs, free, memory);
            case SERVICE_TIME -> new LoadReport(unknown, unknown, 0.9, worker.lastServiceMs, unknown, unknown);
        };
    }

    private void crash(ReplayModel.ModelWorker worker, double downMs) {
        worker.up = false;
        List<ReplayModel.Job> lostAttempts = new ArrayList<>(worker.running);
        lostAttempts.addAll(worker.queue);
        worker.running.clear();
        worker.queue.clear();
        for (ReplayModel.Job attempt : lostAttempts) {
            after(random.nextInt(5), () -> end(attempt, AttemptOutcome.RESET));
        }
        after(downMs, () -> {
            worker.up = true;
            worker.startedAtMs = nowMs();
            if (chance(0.7)) {
                changed(worker);
            }
        });
    }

    // ------------------------------------------------------------ discovery

    private boolean discoveryDown() {
        return nowMs() < discoveryUpAtMs;
    }

    private EndpointEntry entry(ReplayModel.ModelWorker worker) {
        return new EndpointEntry(
                worker.id, worker.lifecycle, 1, worker.kind, worker.cell, worker.zone, worker.startedAtMs);
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
            EndpointWatchFailure failure = chance(0.3) ? EndpointWatchFailure.REFUSED : EndpointWatchFailure.NO_ANSWER;
            double durationMs = failure == EndpointWatchFailure.REFUSED ? 1 : 400 + random.nextInt(1600);
            after(
                    durationMs,
                    () -> policy.endpointWatchFailed(
                            nowUs, chance(0.05) ? EndpointWatchFailure.NOT_ASKED : failure, durationMs));
        } else {
            receiveList(EndpointListKind.FULL_SNAPSHOT);
            confirm();
        }
    }

    private void discoveryFault() {
        double outageMs = chance(0.3) ? 9000 * random.nextDouble() : 400 * random.nextDouble();
        discoveryUpAtMs = nowMs() + outageMs;
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

    // ------------------------------------------------------------ faults

    private void injectFault() {
        after(50 + random.nextInt(400), this::injectFault);
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
            case 7 ->
                nowUs += chance(0.3) ? 1000L * random.nextInt(1500) : 1000L * random.nextInt(60); // a process pause
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
        worker.lifecycle = EndpointLifecycle.DRAINING;
        changed(worker);
        after(forMs, () -> {
            worker.lifecycle = EndpointLifecycle.REMOVED;
            changed(worker);
        });
        after(2 * forMs, () -> {
            worker.lifecycle = EndpointLifecycle.ACTIVE;
            worker.startedAtMs = nowMs();
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
            worker.startedAtMs = nowMs();
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
        previousSettings = settings;
        List<RequestClass> classes = new ArrayList<>(settings.classes());
        if (chance(0.3) && classes.size() < 8) {
            classes.add(classes.get(random.nextInt(classes.size())));
        } else {
            int index = random.nextInt(classes.size());
            RequestClass oldClass = classes.get(index);
            classes.set(
                    index,
                    new RequestClass(
                            oldClass.latencyObjectiveMs() * (0.8 + 0.4 * random.nextDouble()),
                            oldClass.stretchFactor(),
                            oldClass.deadlineMs(),
                            oldClass.priorityWeight(),
                            oldClass.lateWeightShare(),
                            oldClass.idempotency(),
                            oldClass.deduplicationScope(),
                            oldClass.deduplicationWindowMs(),
                            oldClass.streaming(),
                            oldClass.requiredWorkerKind()));
        }
        settings = settings.withClasses(classes);
        if (chance(0.3)) {
            settings = chance(0.5)
                    ? plan.settings().sharedByTwoProcesses().withClasses(classes)
                    : plan.settings().withClasses(classes);
        }
        policy.settingsChanged(nowUs, settings);
    }

    /** Sends the policy an event that matches nothing, which it must ignore or reject. */
    private void strayEvent() {
        after(700, this::strayEvent);
        long id = Math.max(1, lastId - random.nextInt(50));
        switch (random.nextInt(8)) {
            case 0 -> policy.attemptEnded(nowUs, lastId + 99, 0, "10.0.0.1:9000", AttemptOutcome.SERVED, 1, true, null);
            case 1 -> policy.attemptProgressed(nowUs, id, 7, "10.0.0.1:9000", true, 0);
            case 2 -> policy.attemptProgressed(nowUs, id, -1, "10.0.0.1:9000", false, 3);
            case 3 -> policy.probeEnded(nowUs, "10.9.9.9:1", AttemptOutcome.SERVED, 1, null);
            case 4 -> policy.requestAbandoned(nowUs, lastId + 99);
            case 5 -> policy.timerExpired(nowUs, 1 + 1 + id);
            case 6 -> rejected(() -> policy.requestAccepted(nowUs, new PolicyRequest(++lastId, -1, 0, nowUs, 1, 1, 0)));
            default -> rejected(() -> policy.responseStarted(nowUs - 10_000_000, id, 0, "10.0.0.1:9000"));
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

    // ------------------------------------------------------------ the policy's actions

    @Override
    public void sendAttempt(long id, String worker) {
        count("send");
        put('S', id, worker.hashCode());
        ReplayModel.Call request = requests.get(id);
        ReplayModel.Job attempt =
                new ReplayModel.Job(request, request.attempts.size(), workersById.get(worker), nowMs());
        request.attempts.add(attempt);
        after(0.1 + random.nextDouble() * (chance(0.01) ? 200 : 1), () -> reachWorker(attempt));
    }

    @Override
    public void reject(long id, double retryAfterMs, RejectionReason reason) {
        count("reject." + reason);
        put('R', id, Double.doubleToLongBits(retryAfterMs));
        put('r', reason.ordinal(), 0);
        requests.get(id).ended = true;
    }

    @Override
    public void fail(long id, RejectionReason reason) {
        count("fail." + reason);
        put('F', id, reason.ordinal());
        requests.get(id).ended = true;
    }

    @Override
    public void cancelAttempt(long id, int number) {
        count("cancel");
        put('C', id, number);
        ReplayModel.Job attempt = requests.get(id).attempts.get(number);
        after(0.5, () -> end(attempt, AttemptOutcome.CANCELLED));
    }

    @Override
    public void probe(String worker) {
        count("probe");
        put('P', worker.hashCode(), 0);
        ReplayModel.ModelWorker probed = workersById.get(worker);
        if (probed.hanging || chance(0.03)) {
            after(1000, () -> policy.probeEnded(nowUs, worker, AttemptOutcome.TIMED_OUT, 1000, null));
        } else if (!probed.up || probed.unreachable) {
            double durationMs = probed.up ? settings.permissions().connectTimeoutMs() : 0.5;
            after(durationMs, () -> policy.probeEnded(nowUs, worker, AttemptOutcome.CONNECT_FAILED, durationMs, null));
        } else {
            double durationMs = chance(0.05) ? 100 * random.nextDouble() : 0.3;
            after(
                    durationMs,
                    () -> policy.probeEnded(nowUs, worker, AttemptOutcome.SERVED, durationMs, report(probed)));
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

    // ------------------------------------------------------------ clock, random draws and hash

    private double nowMs() {
        return nowUs / 1000.0;
    }

    private void after(double delayMs, Runnable work) {
        dueEvents.add(new Due(nowUs + Math.round(delayMs * 1000), ++order, work));
    }

    private boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    private void count(String action) {
        digest.count(action);
    }

    private void put(char kind, long first, long second) {
        digest.put(kind, nowUs, first, second);
    }
}
