package maplespread.caller;

import maplespread.facade.Attempt;
import maplespread.facade.Decision;
import maplespread.facade.DecisionService;
import maplespread.facade.Outcome;
import maplespread.http.RateLimitedLogger;
import maplespread.log.Event;
import maplespread.policy.RejectionReason;
import maplespread.worker.AttemptResult;
import org.tinylog.Logger;

/**
 * Runs one accepted request to its final response: waits for its permit where requests are ordered, asks the decision
 * service what to do and runs attempts. Runs on a request thread, while the connection's own thread detects whether the
 * client leaves.
 */
final class RequestExecution implements Runnable {
    private static final RateLimitedLogger UNSERVED_LOG = new RateLimitedLogger();

    /** The permit of requests that are not ordered: always valid. */
    private static final RequestSequencer.Permit UNORDERED = new RequestSequencer.Permit() {
        @Override
        public boolean isValid() {
            return true;
        }

        @Override
        public void attemptCompleted(Outcome outcome) {}

        @Override
        public RequestSequencer.Completion release(boolean served) {
            return RequestSequencer.Completion.ENDED;
        }

        @Override
        public RequestSequencer.FinalResponse permitLostResponse() {
            return null;
        }
    };

    private final ServingContext context;
    private final DecisionService decisions;
    private final ClientRequest request;
    private final ClientResponse response;
    private RequestSequencer.Permit permit = UNORDERED;
    /** Whether the permit has been released, or none is left to release. */
    private boolean permitReleased;

    RequestExecution(ServingContext context, ClientRequest request, ClientResponse response) {
        this.context = context;
        this.decisions = context.decisions();
        this.request = request;
        this.response = response;
    }

    @Override
    public void run() {
        try {
            if (acquirePermit()) {
                serve();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException | Error e) { // one failing request must not end the process
            Logger.error(e, "a request failed");
            decisions.reportClientLeft(request.inFlight);
        } finally {
            if (!permitReleased) {
                permit.attemptCompleted(Outcome.RESET); // the request may have run
                permit.release(false);
            }
            if (!response.completed()) {
                response.failed(500, "internal error");
            }
        }
    }

    /** Waits for the request's permit; false if the request has ended without one. */
    private boolean acquirePermit() throws InterruptedException {
        if (context.hooks().sequencer() == null) {
            return true;
        }
        RequestSequencer.SequencingResult result =
                context.hooks().sequencer().acquire(request.sequenced(decisions.nowUs()));
        if (result instanceof RequestSequencer.FinalResponse finalResponse) {
            respond(finalResponse);
        }
        if (!(result instanceof RequestSequencer.Permit acquired)) {
            return false;
        }
        permit = acquired;
        if (response.completed()) { // the client has left meanwhile
            releasePermit(false);
            return false;
        }
        return true;
    }

    private RequestSequencer.Completion releasePermit(boolean served) {
        permitReleased = true;
        return permit.release(served);
    }

    private void serve() throws InterruptedException {
        while (true) {
            if (!permit.isValid()) {
                decisions.reportClientLeft(request.inFlight);
                endWithoutPermit();
                return;
            }
            Decision decision = decisions.decide(request.inFlight);
            if (!(decision instanceof Attempt attempt)) {
                endUnserved(decision);
                return;
            }
            if (runAttempt(attempt)) {
                return;
            }
        }
    }

    /** Ends the request after its permit was lost, before the first attempt or between two attempts. */
    private void endWithoutPermit() {
        if (releasePermit(false) == RequestSequencer.Completion.NEVER_RAN) {
            respond(permit.permitLostResponse());
        } else {
            response.inDoubt("it may have run, and its turn was lost");
        }
    }

    private void endUnserved(Decision decision) {
        boolean inDoubt = releasePermit(false) == RequestSequencer.Completion.IN_DOUBT;
        if (decision instanceof Decision.Rejected rejected) {
            recordUnserved(rejected.reason());
            response.rejected(rejected.retryAfterMs());
        } else if (decision instanceof Decision.Failed failed) {
            recordUnserved(failed.reason());
            if (inDoubt) {
                response.inDoubt("it may have run, or may yet run");
            } else {
                response.failed(502, "no worker served it");
            }
        } // otherwise the client has left, and no response is due
    }

    /** Counts a request that was not served and logs the reason, except for rejections under load. */
    private void recordUnserved(RejectionReason reason) {
        context.metrics().requestUnserved(reason);
        if (reason != RejectionReason.OVERLOADED) {
            UNSERVED_LOG.info(() -> Event.of(
                    "request.unserved", "request", request.message.id(), "why", reason, "list", decisions.listState()));
        }
    }

    private void respond(RequestSequencer.FinalResponse finalResponse) {
        if (!finalResponse.idConsumed()) {
            context.recentIds().unregister(request.message.id());
        }
        if (finalResponse.memory() == null) {
            response.relayed(finalResponse);
            return;
        }
        try {
            finalResponse.memory().setRevocation(response::abandonStalledWrite);
            response.relayed(finalResponse);
        } finally {
            finalResponse.memory().release();
        }
    }

    /** Runs one attempt; returns whether the attempt served the request. */
    private boolean runAttempt(Attempt attempt) {
        AttemptResult result = null;
        Outcome outcome = Outcome.RESET; // the outcome if running the attempt throws
        response.attempted(attempt.worker());
        try {
            result = context.attemptRunner().run(attempt, request.message);
            outcome = result.outcome;
            permit.attemptCompleted(outcome);
            if (outcome == Outcome.SERVED) {
                permit.release(true); // before the response: the key's next request need not wait for this client
                result.setRevocation(response::abandonStalledWrite);
                response.served(result.body);
            }
        } finally {
            decisions.reportAttemptEnded(attempt, outcome, result == null ? null : result.load);
            if (result != null) {
                result.finish();
            }
        }
        permitReleased = outcome == Outcome.SERVED;
        return permitReleased;
    }
}
