package maplespread.policy;

import java.util.Optional;

/**
 * Decides why and how a request without a worker is ended. Every request that the policy itself ends passes through
 * {@link #end}.
 */
final class AdmissionControl {
    private final PolicyContext context;
    private final PendingRequests requests;
    private final RetryPolicy retries;
    private final EndpointListFreshness freshness;
    private final FleetLoadEstimate fleetLoad;

    AdmissionControl(
            PolicyContext context,
            PendingRequests requests,
            RetryPolicy retries,
            EndpointListFreshness freshness,
            FleetLoadEstimate fleetLoad) {
        this.context = context;
        this.requests = requests;
        this.retries = retries;
        this.freshness = freshness;
        this.fleetLoad = fleetLoad;
    }

    /**
     * Decides whether a request for which no worker was chosen is ended.
     *
     * @param anyEligible whether some worker may take the request but costs more than a rejection
     * @return the reason to end the request, or empty if it may wait for a worker
     */
    Optional<RejectionReason> rejectionReason(PendingRequest request, boolean anyEligible) {
        if (anyEligible) {
            return Optional.of(RejectionReason.OVERLOADED);
        }
        if (request.attempts.size() >= request.maxAttempts) {
            return Optional.of(RejectionReason.ATTEMPTS_USED);
        }
        boolean mayHaveRun = !retries.mayReject(request);
        if (request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT && mayHaveRun) {
            return Optional.of(RejectionReason.MAY_HAVE_RUN);
        }
        // The next tick may be two periods away, and a parked request must still be in time at that tick.
        boolean hasTimeLeft = context.nowMs < request.deadlineMs - 2 * context.tickPeriodMs;
        boolean withinObjective = context.nowMs - request.acceptedAtMs < request.requestClass.latencyObjectiveMs();
        if (hasTimeLeft && withinObjective) {
            return Optional.empty();
        }
        if (!hasTimeLeft) {
            return Optional.of(RejectionReason.OUT_OF_TIME);
        }
        return Optional.of(
                freshness.usable(context.nowMs) ? RejectionReason.NO_SERVER : RejectionReason.LIST_NOT_CONFIRMED);
    }

    /** Ends the request: rejects it where the client may safely try again, else fails it. */
    void end(PendingRequest request, RejectionReason reason) {
        if (retries.mayReject(request) && context.nowMs < request.deadlineMs) {
            context.actions.reject(request.id(), retryAfterMs(), reason);
        } else {
            context.actions.fail(request.id(), reason);
        }
        requests.end(request);
    }

    /**
     * The retry delay advised to the client, ms: the shortest wait in the fleet, at least half the objective and at
     * most the site's limit.
     */
    private double retryAfterMs() {
        double waitMs = Math.max(fleetLoad.shortestWaitMs(), context.objectiveMs / 2);
        return Math.min(waitMs, context.permissions.maxRetryAfterMs());
    }
}
