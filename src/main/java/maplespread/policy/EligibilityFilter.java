package maplespread.policy;

/** Checks every condition of a send. An attempt is sent only if it passes this check at that moment. */
final class EligibilityFilter {
    private final PolicyContext context;
    private final EndpointListFreshness freshness;
    private final RetryPolicy retries;

    EligibilityFilter(PolicyContext context, EndpointListFreshness freshness, RetryPolicy retries) {
        this.context = context;
        this.freshness = freshness;
        this.retries = retries;
    }

    /**
     * Checks whether the request may be sent to the worker now.
     *
     * @return {@link Eligibility#ELIGIBLE} or the first condition that fails
     */
    Eligibility check(PendingRequest request, Worker worker) {
        if (worker.lifecycle != EndpointLifecycle.ACTIVE) {
            return Eligibility.WORKER_NOT_ACTIVE;
        }
        if (!freshness.usable(context.nowMs)) {
            return Eligibility.LIST_NOT_CONFIRMED;
        }
        int requiredKind = request.requestClass.requiredWorkerKind();
        if (requiredKind >= 0 && requiredKind != worker.kindNumber) {
            return Eligibility.WRONG_WORKER_KIND;
        }
        if (Math.max(request.slots, request.memoryUnits) > Math.max(1, worker.slotEstimator.slots())) {
            return Eligibility.REQUEST_TOO_LARGE;
        }
        if (!request.accepted.mayGoTo(worker.id)) {
            return Eligibility.NOT_AMONG_ALLOWED_WORKERS;
        }
        Eligibility retryEligibility = retries.check(request, worker);
        if (retryEligibility != Eligibility.ELIGIBLE) {
            return retryEligibility;
        }
        if (!worker.slowStart.allows(request.workMs)) {
            return Eligibility.SLOW_START_BUDGET_USED;
        }
        return Eligibility.ELIGIBLE;
    }
}
