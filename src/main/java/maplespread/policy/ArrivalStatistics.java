package maplespread.policy;

/**
 * Statistics of the requests offered to this dispatcher, before any rejection: their mean work by class, their rate,
 * their mean priority weight, and the share that the basic admission rule would lose. A client's later attempt counts
 * in the mean work but not in the rate: otherwise rejected requests that are sent again would keep up the costs that
 * caused their rejection. Work is in ms on a standard core.
 */
final class ArrivalStatistics {
    /** Number of requests over which a class's mean work is averaged. */
    private static final double MAX_CLASS_SAMPLES = 200;

    /** Weight of a request in the means over all classes, from the hundredth request on. */
    private static final double MIN_STEP = 0.01;

    private static final double MIN_MEAN_WEIGHT = 1e-9;
    private static final double MIN_RELATIVE_WEIGHT = 0.05;
    private static final double MAX_RELATIVE_WEIGHT = 50;

    /** Weight of a request in the share of lost requests over the fleet. */
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
    private double rateUpdatedAtMs = Double.NaN;
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

    /** Mean work of a class's requests, or of all requests where the class has had no hint. */
    double meanWorkMs(int classIndex) {
        double classMeanMs = meanWorkByClass.get(classIndex);
        return classMeanMs > 0 ? classMeanMs : meanWorkMs();
    }

    /** Offered requests per ms, as of the last one. */
    double ratePerMs() {
        return ratePerMs;
    }

    /** Share of the offered requests that the basic admission rule would lose. */
    double lostShare() {
        return lostShare;
    }

    /**
     * The wait up to which a request is on time: the objective of its class plus (stretch - 1) times the class's mean
     * work, at least a quarter of the objective and at most the class's deadline.
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
        assignExpectedWork(request);
        assignWeight(request);
        boolean firstAttempt = context.settings.isFirstAttempt(request.classIndex, request.deadlineMs - context.nowMs);
        if (requests > 1 && !firstAttempt) {
            return;
        }
        double kept = Double.isNaN(rateUpdatedAtMs)
                ? 0
                : ratePerMs * ReproducibleMath.exp((rateUpdatedAtMs - context.nowMs) / context.memoryMs);
        ratePerMs = kept + 1 / context.memoryMs;
        rateUpdatedAtMs = context.nowMs;
        offerToShadowQueue(request);
    }

    private void assignExpectedWork(PendingRequest request) {
        if (request.workMs > 0) {
            request.logHint = ReproducibleMath.log(request.workMs);
            request.workMs = hints.expectedWorkMs(request.logHint);
            int index = request.classIndex;
            samplesByClass.set(index, Math.min(samplesByClass.get(index) + 1, MAX_CLASS_SAMPLES));
            double classMeanMs = meanWorkByClass.get(index);
            meanWorkByClass.set(index, classMeanMs + (request.workMs - classMeanMs) / samplesByClass.get(index));
        } else {
            request.workMs = meanWorkMs(request.classIndex);
        }
    }

    private void assignWeight(PendingRequest request) {
        double weight = request.requestClass.priorityWeight() * (context.settings.weightPerWork() ? request.workMs : 1);
        double step = Math.max(MIN_STEP, 1 / ++requests); // an arithmetic mean at first, an exponential one later
        meanWorkMs = requests == 1 ? request.workMs : meanWorkMs + step * (request.workMs - meanWorkMs);
        meanWeight = requests == 1 ? weight : meanWeight + step * (weight - meanWeight);
        double relative = weight / Math.max(meanWeight, MIN_MEAN_WEIGHT);
        request.weight =
                PolicyMath.clamp(relative, MIN_RELATIVE_WEIGHT, MAX_RELATIVE_WEIGHT) * request.accepted.weightFactor();
    }

    /**
     * Offers the request to the shadow queue of a worker drawn by its share of the capacity: the paper's load-balanced
     * random split.
     */
    private void offerToShadowQueue(PendingRequest request) {
        double remaining = context.random.nextDouble() * workers.totalCapacity();
        int index = 0;
        while (index < workers.size() - 1 && (remaining -= workers.capacity(index)) >= 0) {
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
