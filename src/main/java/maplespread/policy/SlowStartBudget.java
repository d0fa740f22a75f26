package maplespread.policy;

/**
 * The slow start of a worker: how warm it is, and how much work this dispatcher may still send it. A worker that has
 * just started serves only a share of its capacity, which rises over {@link PlatformRules#slowStartMs}, and fails when
 * all dispatchers together send it more than a multiple of that within a window ({@link PlatformRules#overloadFactor},
 * {@link PlatformRules#overloadWindowMs}). The budget is a token bucket: filled by half of this dispatcher's share of
 * that limit a window, the rest being kept for estimates that are off, and holding half of a window's filling, or one
 * mean request where many dispatchers share. It starts below that, at a random level for each dispatcher, and what is
 * not used within a window is lost: savings must not pile up over dispatchers, a pause or a restart. Work is ms.
 */
final class SlowStartBudget {
    /** Share of the limit that is handed out. */
    private static final double SAFETY_SHARE = 0.5;

    private final PolicyContext context;
    private final ArrivalStatistics arrivals;
    private final Worker worker;
    private double startedAtMs = Double.NEGATIVE_INFINITY;
    private double availableMs;
    private double refilledAtMs;
    private double lastNotFullMs;

    SlowStartBudget(PolicyContext context, ArrivalStatistics arrivals, Worker worker) {
        this.context = context;
        this.arrivals = arrivals;
        this.worker = worker;
    }

    /** Whether the worker is still in slow start. */
    boolean isActive() {
        return context.nowMs - startedAtMs < context.rules.slowStartMs();
    }

    /** Share of its full capacity that the worker has now, up to 1. */
    double capacityShare() {
        if (!isActive()) {
            return 1;
        }
        double initial = context.rules.slowStartCapacityShare();
        return initial + (1 - initial) * Math.max(0, context.nowMs - startedAtMs) / context.rules.slowStartMs();
    }

    /** The worker has started at this time, or may have. */
    void restart(double sinceMs) {
        startedAtMs = Math.max(startedAtMs, sinceMs);
        availableMs = Math.max(context.random.nextDouble() * arrivals.meanWorkMs(), perWindowMs() / 2);
        refilledAtMs = context.nowMs;
        lastNotFullMs = context.nowMs;
    }

    /** Brings the bucket up to date. */
    void refill() {
        if (!isActive()) {
            return;
        }
        double addedMs = perWindowMs() * (context.nowMs - refilledAtMs) / context.rules.overloadWindowMs();
        availableMs = Math.min(availableMs + addedMs, maxMs());
        lastNotFullMs = availableMs < maxMs() ? context.nowMs : lastNotFullMs;
        availableMs = context.nowMs - lastNotFullMs > context.rules.overloadWindowMs() ? 0 : availableMs;
        refilledAtMs = context.nowMs;
    }

    /** Whether a request of this work may be sent now. Every attempt counts as a mean request at least. */
    boolean allows(double workMs) {
        double countedMs = Math.max(workMs, arrivals.meanWorkMs());
        return !isActive()
                || availableMs >= Math.min(countedMs, maxMs())
                        && countedMs <= perWindowMs() * context.settings.dispatcherCount() / 2;
    }

    /** A request of this work was sent; a rejected one counts as well. */
    void spend(double workMs) {
        availableMs -= Math.max(workMs, arrivals.meanWorkMs());
    }

    /** This dispatcher's share of the work of one window, at the lower of the kind's speed and the worker's own. */
    private double perWindowMs() {
        double speed = Math.min(worker.kind.speed, worker.speedEstimator.speed());
        double capacity = speed * worker.slotEstimator.slots() * capacityShare();
        return SAFETY_SHARE
                * context.rules.overloadFactor()
                * capacity
                * context.rules.overloadWindowMs()
                / context.settings.dispatcherCount();
    }

    private double maxMs() {
        return Math.max(perWindowMs() / 2, arrivals.meanWorkMs());
    }
}
