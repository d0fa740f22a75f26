package maplespread.policy;

import java.util.List;

/**
 * All decisions of one dispatcher: which worker gets a request, whether an attempt is repeated, what is rejected. This
 * class takes the host's events, sets the time and calls the modules in order; the rules are in the modules. The
 * design is rule (25) of "Meeting Soft Deadlines in Single- and Multi-Server Systems" with the departures that
 * docs/design.md gives.
 *
 * <p>Not thread-safe: the host calls it under one lock. It does no I/O and reads no clock. Given the same settings,
 * seed and events it takes the same actions, whatever the order of a hash map.
 */
public final class DispatchPolicy implements PolicyEvents {
    private static final double MICROS_PER_MS = 1000.0;

    private final PolicyContext context;
    private final EndpointListFreshness freshness;
    private final DiscoveryPollSchedule polls;
    private final ProcessPauseDetector pauses;
    private final PendingRequests requests = new PendingRequests();
    private final WorkerTable workers = new WorkerTable();
    private final WorkerDirectory directory;
    private final FleetLoadEstimate fleetLoad;
    private final ArrivalStatistics arrivals;
    private final CandidateCosts costs;
    private final ProbeScheduler probes;
    private final WorkerSelector selector;

    /**
     * A policy that knows no worker yet.
     *
     * @param seed of its random source
     * @throws IllegalArgumentException if settings or actions are missing
     */
    public DispatchPolicy(PolicySettings settings, long seed, PolicyActions actions) {
        Preconditions.require(settings != null && actions != null, "settings and actions are needed");
        context = new PolicyContext(seed, actions);
        freshness = new EndpointListFreshness(actions::listStateChanged);
        polls = new DiscoveryPollSchedule(context);
        pauses = new ProcessPauseDetector(context);
        HintCalibration hints = new HintCalibration(context);
        FailureStatistics failures = new FailureStatistics(context);
        fleetLoad = new FleetLoadEstimate(context, workers);
        arrivals = new ArrivalStatistics(context, workers, hints, fleetLoad);
        fleetLoad.use(arrivals);
        directory = new WorkerDirectory(workers, context, arrivals, hints, failures);
        RetryPolicy retries = new RetryPolicy(context);
        EligibilityFilter eligibility = new EligibilityFilter(context, freshness, retries);
        KeyAffinity affinity = new KeyAffinity(workers, arrivals, fleetLoad);
        CostModel costModel = new CostModel(context, workers, arrivals, fleetLoad, failures, affinity, eligibility);
        costs = new CandidateCosts(workers, costModel, affinity);
        probes = new ProbeScheduler(context, requests, workers, fleetLoad, costs, pauses);
        AdmissionControl admission = new AdmissionControl(context, requests, retries, freshness, fleetLoad);
        selector = new WorkerSelector(context, directory, requests, costs, costModel, affinity, probes, admission);
        apply(settings);
    }

    private void apply(PolicySettings settings) {
        context.apply(settings);
        freshness.applySettings(!settings.pollsDiscovery(), context.rules.maxListAgeMs());
    }

    // ------------------------------------------------------------ settings and endpoint list

    @Override
    public void settingsChanged(long nowUs, PolicySettings next) {
        advanceTo(nowUs);
        Preconditions.require(
                next.classes().size() >= context.settings.classes().size(), "classes keep their places");
        apply(next);
        fleetLoad.invalidate();
    }

    @Override
    public void endpointListReceived(long nowUs, EndpointListKind kind, long version, List<EndpointEntry> entries) {
        advanceTo(nowUs);
        if (kind != EndpointListKind.DELTA) {
            directory.removeAbsent(entries);
        }
        fleetLoad.invalidate();
        entries.forEach(directory::update);
        directory.forgetUnlisted();
        costs.invalidate();
        requests.probing().forEach(request -> request.probed.clear());
        if (kind == EndpointListKind.CACHED_SNAPSHOT) {
            polls.cachedSnapshotReceived(entries.size());
            startTicking();
        } else {
            polls.listReceived();
        }
    }

    /** Dispatchers that start together must not tick in step. */
    private void startTicking() {
        double firstMs = context.tickPeriodMs * (0.5 + context.random.nextDouble() / 2);
        pauses.expectTick(firstMs);
        context.actions.scheduleTimer(firstMs, TimerLabel.TICK);
    }

    @Override
    public void endpointListConfirmed(long nowUs) {
        advanceTo(nowUs);
        boolean wasUsable = freshness.usable(context.nowMs);
        freshness.confirmed(context.nowMs);
        if (!wasUsable) {
            placeParked();
        }
    }

    @Override
    public void endpointListUnconfirmed(long nowUs, EndpointListDoubt why, double lastMessageAgoMs) {
        advanceTo(nowUs);
        if (why == EndpointListDoubt.MOVED) {
            freshness.moved(context.nowMs);
        } else {
            freshness.silent(context.nowMs, lastMessageAgoMs);
        }
    }

    @Override
    public void endpointWatchFailed(long nowUs, EndpointWatchFailure loss, double lastMessageAgoMs) {
        advanceTo(nowUs);
        freshness.failed(context.nowMs, loss, lastMessageAgoMs);
        polls.watchFailed(workers.size());
    }

    /** Whether a request may be sent by the list at this moment, which may be later than its choice. */
    public boolean endpointListUsable(long nowUs) {
        return freshness.usable(nowUs / MICROS_PER_MS);
    }

    // ------------------------------------------------------------ requests and attempts

    @Override
    public void requestAccepted(long nowUs, PolicyRequest accepted) {
        advanceTo(nowUs);
        int classIndex = accepted.classIndex();
        Preconditions.require(
                classIndex >= 0 && classIndex < context.settings.classes().size(), "no such class: " + classIndex);
        requests.requireUnknown(accepted.id());
        PendingRequest request = new PendingRequest(accepted, context);
        requests.add(request);
        fleetLoad.refresh();
        arrivals.requestOffered(request);
        selector.place(request);
        if (request.probeRounds == 0) {
            probes.probeStalest();
        }
    }

    @Override
    public void attemptProgressed(long nowUs, long id, int number, String worker, boolean started, double share) {
        InFlightAttempt attempt = signOfLife(nowUs, id, number);
        if (attempt != null) {
            attempt.worker.attemptProgressed(attempt, started ? 0 : PolicyMath.clamp(share, 0, 1));
        }
    }

    @Override
    public void responseStarted(long nowUs, long id, int number, String worker) {
        InFlightAttempt attempt = signOfLife(nowUs, id, number);
        if (attempt != null) {
            attempt.request.responseStarted = true;
        }
    }

    private InFlightAttempt signOfLife(long nowUs, long id, int number) {
        advanceTo(nowUs);
        InFlightAttempt attempt = requests.findAttempt(id, number);
        if (attempt != null) {
            attempt.worker.outliers.aliveSeen();
        }
        return attempt;
    }

    @Override
    public void attemptEnded(
            long nowUs,
            long id,
            int number,
            String workerId,
            AttemptOutcome outcome,
            double lagMs,
            boolean requestEnded,
            LoadReport report) {
        advanceTo(nowUs);
        Worker reporter = directory.find(workerId);
        if (reporter != null) {
            reporter.reportReceived(report);
        }
        InFlightAttempt attempt = requests.findAttempt(id, number);
        if (attempt == null) {
            return;
        }
        PendingRequest request = attempt.request;
        attempt.worker.attemptEnded(attempt, outcome, lagMs);
        directory.attemptEnded(attempt.worker);
        if (requestEnded) {
            requests.end(request);
        } else if (!request.ended && !request.responseStarted && request.attemptsInFlight == 0) {
            fleetLoad.refresh();
            selector.place(request); // another attempt, or the end
        }
        requests.forgetIfOver(request);
    }

    @Override
    public void requestAbandoned(long nowUs, long id) {
        advanceTo(nowUs);
        PendingRequest request = requests.find(id);
        if (request != null) {
            requests.end(request);
        }
    }

    private void placeParked() {
        if (requests.hasParked()) {
            List<PendingRequest> parked = requests.takeParked();
            fleetLoad.refresh();
            parked.forEach(selector::place);
        }
    }

    // ------------------------------------------------------------ probes, upkeep and time

    @Override
    public void probeEnded(long nowUs, String workerId, AttemptOutcome outcome, double lagMs, LoadReport report) {
        advanceTo(nowUs);
        Worker worker = directory.find(workerId);
        if (worker == null) {
            return;
        }
        worker.probeEnded(outcome, lagMs, report);
        for (PendingRequest request : List.copyOf(requests.probing())) {
            if (probes.recordReply(worker, request)) {
                endProbeRound(request);
            }
        }
    }

    private void endProbeRound(PendingRequest request) {
        if (probes.endRound(request)) {
            selector.place(request);
        }
    }

    @Override
    public void timerExpired(long nowUs, long label) {
        advanceTo(nowUs);
        if (label == TimerLabel.TICK) {
            tick();
            return;
        }
        PendingRequest request = requests.find(TimerLabel.requestIdOf(label));
        if (request != null) {
            endProbeRound(request);
        }
    }

    private void tick() {
        freshness.usable(context.nowMs); // so that the state change is reported in time
        polls.pollIfDue();
        for (Worker worker : directory.busy()) {
            worker.outliers.countOverdue(pauses.pauseEndedMs());
        }
        placeParked();
        pauses.expectTick(context.tickPeriodMs);
        context.actions.scheduleTimer(context.tickPeriodMs, TimerLabel.TICK);
    }

    private void advanceTo(long nowUs) {
        double nowMs = nowUs / MICROS_PER_MS;
        Preconditions.require(nowMs >= context.nowMs, "time ran backwards");
        context.nowMs = nowMs;
        pauses.eventReceived();
    }

    /** How many listed workers get no new requests at present: draining, ejected or backing off. */
    public int avoidedWorkers() {
        int avoided = 0;
        for (Worker worker : workers.all()) {
            if (worker.lifecycle != EndpointLifecycle.ACTIVE || !worker.outliers.isReady()) {
                avoided++;
            }
        }
        return avoided;
    }
}
