package maplespread.policy;

/**
 * What is offered to this dispatcher, before any rejection: sizes by class, the rate, the mean priority weight, and the
 * share that the basic rule would lose. A client's later attempt counts as size but not as load, or what was rejected
 * would keep up the prices that rejected it. Work is ms on a standard core.
 */
final class ArrivalStatistics {
    /** A class's mean size forgets over this many requests. */
    private static final double MAX_CLASS_SAMPLES = 200;

    /** Weight of a request in the means over all classes once there are a hundred. */
    private static final double MIN_STEP = 0.01;

    private static final double MIN_MEAN_WEIGHT = 1e-9;
    private static final double MIN_RELATIVE_WEIGHT = 0.05;
    private static final double MAX_RELATIVE_WEIGHT = 50;

    /** Weight of a request in the fleet's lost share. */
    private static final double LOST_SHARE_STEP = 0.02;

    private final PolicyContext context;
    private final WorkerTable workers;
    private final HintCalibration hints;
    private final FleetLoadEstimate fleetLoad;
    private final DoublesByIndex meanWorkByClass = new DoublesByIndex();
    private final DoublesByIndex samplesByClass = new DoublesByIndex();
    private double requests;
    private double meanWorkMs = Double.NaN;
    private double meanWeight = Double.NaN;
    private double ratePerMs;
    private double rateAtMs = Double.NaN;
    private double lostShare;

    ArrivalStatistics(PolicyContext context, WorkerTable workers, HintCalibration hints, FleetLoadEstimate fleetLoad) {
        this.context = context;
        this.workers = workers;
        this.hints = hints;
        this.fleetLoad = fleetLoad;
    }

    /** Mean work of a request; the shortest latency objective before the first one. */
    double meanWorkMs() {
        return requests > 0 ? meanWorkMs : context.objectiveMs;
    }

    /** Mean work of a class's requests, or of all where it has had no hint. */
    double meanWorkMs(int classIndex) {
        double classMeanMs = meanWorkByClass.get(classIndex);
        return classMeanMs > 0 ? classMeanMs : meanWorkMs();
    }

    /** Offered requests a ms, by the last one's time. */
    double ratePerMs() {
        return ratePerMs;
    }

    /** Share of the offered requests that the basic rule would lose. */
    double lostShare() {
        return lostShare;
    }

    /**
     * The wait up to which a request of the class is on time: its objective and (stretch - 1) typical run times, at
     * least a quarter of the objective and at most its deadline.
     */
    double waitObjectiveMs(PendingRequest request) {
        RequestClass requestClass = request.requestClass;
        double objectiveMs = requestClass.latencyObjectiveMs();
        return PolicyMath.clamp(
                objectiveMs + (requestClass.stretchFactor() - 1) * meanWorkMs(request.classIndex),
                objectiveMs / 4,
                requestClass.deadlineMs());
    }

    /** Counts a new request, and sets its expected work and its weight relative to the mean one. */
    void requestOffered(PendingRequest request) {
        expectWork(request);
        weigh(request);
        boolean firstAttempt = context.settings.isFirstAttempt(request.classIndex, request.deadlineMs - context.nowMs);
        if (requests > 1 && !firstAttempt) {
            return;
        }
        double kept = Double.isNaN(rateAtMs) ? 0 : ratePerMs * Math.exp((rateAtMs - context.nowMs) / context.memoryMs);
        ratePerMs = kept + 1 / context.memoryMs;
        rateAtMs = context.nowMs;
        offerToShadowQueue(request);
    }

    private void expectWork(PendingRequest request) {
        if (request.workMs > 0) {
            request.logHint = Math.log(request.workMs);
            request.workMs = hints.expectedWorkMs(request.logHint);
            int index = request.classIndex;
            samplesByClass.set(index, Math.min(samplesByClass.get(index) + 1, MAX_CLASS_SAMPLES));
            double classMeanMs = meanWorkByClass.get(index);
            meanWorkByClass.set(index, classMeanMs + (request.workMs - classMeanMs) / samplesByClass.get(index));
        } else {
            request.workMs = meanWorkMs(request.classIndex);
        }
    }

    private void weigh(PendingRequest request) {
        double weight = request.requestClass.priorityWeight() * (context.settings.weightPerWork() ? request.workMs : 1);
        double step = Math.max(MIN_STEP, 1 / ++requests); // a plain mean at first, forgetting later
        meanWorkMs = requests == 1 ? request.workMs : meanWorkMs + step * (request.workMs - meanWorkMs);
        meanWeight = requests == 1 ? weight : meanWeight + step * (weight - meanWeight);
        double relative = weight / Math.max(meanWeight, MIN_MEAN_WEIGHT);
        request.weight =
                PolicyMath.clamp(relative, MIN_RELATIVE_WEIGHT, MAX_RELATIVE_WEIGHT) * request.accepted.weightFactor();
    }

    /** The paper's load-balanced random split: a worker is drawn by its share of the capacity. */
    private void offerToShadowQueue(PendingRequest request) {
        double rest = context.random.nextDouble() * workers.totalCapacity();
        int index = 0;
        while (index < workers.size() - 1 && (rest -= workers.capacity(index)) >= 0) {
            index++;
        }
        if (index < workers.size()) {
            Worker worker = workers.get(index);
            double runMs = request.workMs * request.slots / worker.capacity;
            int lost = worker.shadowQueue.offer(
                    context.nowMs, fleetLoad.loadMultiplier(), waitObjectiveMs(request), runMs);
            lostShare += LOST_SHARE_STEP * (lost - lostShare);
        }
    }
}
