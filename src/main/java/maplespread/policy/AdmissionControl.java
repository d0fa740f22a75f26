package maplespread.policy;

import java.util.Optional;

/** Why a request for which there is no worker is ended, and how: the one exit of all that this dispatcher ends. */
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
     * Why no attempt is made for a request for which no worker was chosen; empty: it may wait for one.
     *
     * @param anyEligible some worker may take it, at a cost above that of a rejection
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
        // The next tick may come two periods from now, and is the last that may still answer in time.
        boolean timeLeft = context.nowMs < request.deadlineMs - 2 * context.tickPeriodMs;
        boolean withinObjective = context.nowMs - request.acceptedAtMs < request.requestClass.latencyObjectiveMs();
        if (timeLeft && withinObjective) {
            return Optional.empty();
        }
        if (!timeLeft) {
            return Optional.of(RejectionReason.OUT_OF_TIME);
        }
        return Optional.of(
                freshness.usable(context.nowMs) ? RejectionReason.NO_SERVER : RejectionReason.LIST_NOT_CONFIRMED);
    }

    /** Ends the request: rejected where the client may safely try again, else failed. */
    void end(PendingRequest request, RejectionReason reason) {
        if (retries.mayReject(request) && context.nowMs < request.deadlineMs) {
            context.actions.reject(request.id(), retryAfterMs(), reason);
        } else {
            context.actions.fail(request.id(), reason);
        }
        requests.end(request);
    }

    /** The pause advised to the client: the shortest wait in the fleet, at least half the objective. */
    private double retryAfterMs() {
        double waitMs = Math.max(fleetLoad.shortestWaitMs(), context.objectiveMs / 2);
        return Math.min(waitMs, context.permissions.maxRetryAfterMs());
    }
}
