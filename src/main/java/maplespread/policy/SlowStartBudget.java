package maplespread.policy;

/**
 * The slow start of a worker: the share of its capacity that is available, and how much work this dispatcher may still
 * send it. A worker that has just started serves only a share of its capacity, which rises over {@link
 * PlatformRules#slowStartMs}. It fails when all dispatchers together send it more than a multiple of that share within
 * a window ({@link PlatformRules#overloadFactor}, {@link PlatformRules#overloadWindowMs}).
 *
 * <p>The budget is a token bucket. Each window adds half of this dispatcher's share of that limit; the other half
 * covers estimation errors. The bucket holds half of what a window adds, or one mean request where many dispatchers
 * share the worker. In the latter case its first level is random for each dispatcher and below that maximum. A bucket
 * that stays full for a window is emptied. Unused budget must not accumulate over dispatchers, a process pause or a
 * restart. Work is in ms.
 */
final class SlowStartBudget {
    /** Share of the overload limit that the dispatchers use. */
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
        double initialShare = context.rules.slowStartCapacityShare();
        return initialShare
                + (1 - initialShare) * Math.max(0, context.nowMs - startedAtMs) / context.rules.slowStartMs();
    }

    /** Starts the slow start anew: the worker started at this time, or may have. */
    void restart(double sinceMs) {
        startedAtMs = Math.max(startedAtMs, sinceMs);
        availableMs = Math.max(context.random.nextDouble() * arrivals.meanWorkMs(), windowBudgetMs() / 2);
        refilledAtMs = context.nowMs;
        lastNotFullMs = context.nowMs;
    }

    /** Adds the budget for the time since the last refill. */
    void refill() {
        if (!isActive()) {
            return;
        }
        double addedMs = windowBudgetMs() * (context.nowMs - refilledAtMs) / context.rules.overloadWindowMs();
        availableMs = Math.min(availableMs + addedMs, maxBudgetMs());
        lastNotFullMs = availableMs < maxBudgetMs() ? context.nowMs : lastNotFullMs;
        availableMs = context.nowMs - lastNotFullMs > context.rules.overloadWindowMs() ? 0 : availableMs;
        refilledAtMs = context.nowMs;
    }

    /** Whether a request of this work may be sent now. Every attempt counts as at least a mean request. */
    boolean allows(double workMs) {
        double chargedMs = Math.max(workMs, arrivals.meanWorkMs());
        return !isActive()
                || availableMs >= Math.min(chargedMs, maxBudgetMs())
                        && chargedMs <= windowBudgetMs() * context.settings.dispatcherCount() / 2;
    }

    /** Deducts a sent attempt of this work; an attempt that the worker rejects counts as well. */
    void spend(double workMs) {
        availableMs -= Math.max(workMs, arrivals.meanWorkMs());
    }

    /**
     * Half of this dispatcher's share of the overload limit for one window, at the lower of the kind's speed and the
     * worker's own.
     */
    private double windowBudgetMs() {
        double speed = Math.min(worker.kind.speed, worker.speedEstimator.speed());
        double capacity = speed * worker.slotEstimator.slots() * capacityShare();
        return SAFETY_SHARE
                * context.rules.overloadFactor()
                * capacity
                * context.rules.overloadWindowMs()
                / context.settings.dispatcherCount();
    }

    private double maxBudgetMs() {
        return Math.max(windowBudgetMs() / 2, arrivals.meanWorkMs());
    }
}
