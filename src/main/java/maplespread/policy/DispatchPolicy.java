package maplespread.policy;

import java.util.List;

/**
 * Makes all decisions of one dispatcher: which worker gets a request, whether a request is attempted again and whether
 * it is rejected. This class receives the host's events, sets the time and calls the modules in order; the modules hold
 * the rules. The design follows rule (25) of "Meeting Soft Deadlines in Single- and Multi-Server Systems", with the
 * departures listed in docs/design.md.
 *
 * <p>Not thread-safe: the host calls it under one lock. It does no I/O and reads no clock. Given the same settings,
 * seed and events it takes the same actions, whatever the order of a hash map.
 */
public final class DispatchPolicy implements PolicyEvents {
    private static final double MICROS_PER_MS = 1000.0;

    private final PolicyContext context;
    private final EndpointListFreshness freshness;
    private final DiscoveryPollSchedule pollSchedule;
    private final ProcessPauseDetector pauseDetector;
    private final PendingRequests requests = new PendingRequests();
    private final WorkerTable workers = new WorkerTable();
    private final WorkerDirectory directory;
    private final FleetLoadEstimate fleetLoad;
    private final ArrivalStatistics arrivals;
    private final CandidateCosts costs;
    private final ProbeScheduler probes;
    private final WorkerSelector selector;
    private EndpointListKind lastListKind = EndpointListKind.CACHED_SNAPSHOT;

    /**
     * Creates a policy without workers.
     *
     * @param seed seed of the policy's random source
     * @throws IllegalArgumentException if settings or actions are missing
     */
    public DispatchPolicy(PolicySettings settings, long seed, PolicyActions actions) {
        Preconditions.require(settings != null && actions != null, "settings and actions are needed");
        context = new PolicyContext(seed, actions);
        freshness = new EndpointListFreshness(actions::listStateChanged);
        pollSchedule = new DiscoveryPollSchedule(context);
        pauseDetector = new ProcessPauseDetector(context);
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
        probes = new ProbeScheduler(context, requests, workers, fleetLoad, costs, pauseDetector);
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
                next.classes().size() >= context.settings.classes().size(), "request classes must not be removed");
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
        lastListKind = kind;
        if (kind == EndpointListKind.CACHED_SNAPSHOT) {
            pollSchedule.cachedSnapshotReceived(entries.size());
            scheduleFirstTick();
        }
    }

    /** Schedules the first tick at a random time: dispatchers that start together must not tick in step. */
    private void scheduleFirstTick() {
        double firstMs = context.tickPeriodMs * (0.5 + context.random.nextDouble() / 2);
        pauseDetector.expectTick(firstMs);
        context.actions.scheduleTimer(firstMs, TimerLabel.TICK);
    }

    @Override
    public void endpointListConfirmed(long nowUs) {
        advanceTo(nowUs);
        boolean wasUsable = freshness.usable(context.nowMs);
        freshness.confirmed(context.nowMs);
        if (lastListKind != EndpointListKind.CACHED_SNAPSHOT) { // a cached list that the host trusts is no answer
            pollSchedule.listConfirmed();
        }
        if (!wasUsable) {
            placeParked();
        }
    }

    @Override
    public void endpointListUnconfirmed(long nowUs, EndpointListDoubt doubt, double lastMessageAgoMs) {
        advanceTo(nowUs);
        if (doubt == EndpointListDoubt.MOVED) {
            freshness.moved(context.nowMs);
        } else {
            freshness.silent(context.nowMs, lastMessageAgoMs);
        }
    }

    @Override
    public void endpointWatchFailed(long nowUs, EndpointWatchFailure failure, double lastMessageAgoMs) {
        advanceTo(nowUs);
        freshness.failed(context.nowMs, failure, lastMessageAgoMs);
        pollSchedule.watchFailed(workers.size());
    }

    /**
     * Whether the endpoint list may be used to send a request now. The host checks this again when it sends, which may
     * be after the policy chose the worker.
     */
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
        InFlightAttempt attempt = recordActivity(nowUs, id, number);
        if (attempt != null) {
            attempt.worker.attemptProgressed(attempt, started ? 0 : PolicyMath.clamp(share, 0, 1));
        }
    }

    @Override
    public void responseStarted(long nowUs, long id, int number, String worker) {
        InFlightAttempt attempt = recordActivity(nowUs, id, number);
        if (attempt != null) {
            attempt.request.responseStarted = true;
        }
    }

    private InFlightAttempt recordActivity(long nowUs, long id, int number) {
        advanceTo(nowUs);
        InFlightAttempt attempt = requests.findAttempt(id, number);
        if (attempt != null) {
            attempt.worker.outliers.recordAlive();
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
            double elapsedMs,
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
        attempt.worker.attemptEnded(attempt, outcome, elapsedMs);
        directory.attemptEnded(attempt.worker);
        if (requestEnded) {
            requests.end(request);
        } else if (!request.ended && !request.responseStarted && request.attemptsInFlight == 0) {
            fleetLoad.refresh();
            selector.place(request); // sends another attempt or ends the request
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

    // ------------------------------------------------------------ probes and timers

    @Override
    public void probeEnded(long nowUs, String workerId, AttemptOutcome outcome, double elapsedMs, LoadReport report) {
        advanceTo(nowUs);
        Worker worker = directory.find(workerId);
        if (worker == null) {
            return;
        }
        worker.probeEnded(outcome, elapsedMs, report);
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
        freshness.usable(context.nowMs); // reports a list that became stale, even without requests
        pollSchedule.pollIfDue();
        for (Worker worker : directory.busy()) {
            worker.outliers.countOverdue(pauseDetector.pauseEndedMs());
        }
        placeParked();
        pauseDetector.expectTick(context.tickPeriodMs);
        context.actions.scheduleTimer(context.tickPeriodMs, TimerLabel.TICK);
    }

    private void advanceTo(long nowUs) {
        double nowMs = nowUs / MICROS_PER_MS;
        Preconditions.require(nowMs >= context.nowMs, "time ran backwards");
        context.nowMs = nowMs;
        pauseDetector.eventReceived();
    }

    /** Number of listed workers that get no new requests at present: draining, ejected or backing off. */
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
