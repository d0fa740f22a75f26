package maplespread.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Lets each condition of a send fail alone and asserts that the filter returns that condition. */
class EligibilityTest {
    private static final double START_MS = 50_000;

    private final Set<Eligibility> seen = EnumSet.noneOf(Eligibility.class);

    /** A request and a worker that is eligible for it until a test changes either of them. */
    private static final class Case {
        final RuleCheckingHost host;
        final PolicyContext context;
        final EndpointListFreshness freshness = new EndpointListFreshness((from, to, ageMs) -> {});
        final WorkerDirectory directory;
        final EligibilityFilter filter;
        PendingRequest request;

        Case(RequestClass requestClass) {
            host = new RuleCheckingHost(RuleCheckingHost.settings(requestClass, false, 1));
            context = new PolicyContext(7, host);
            context.apply(host.settings);
            context.nowMs = START_MS;
            WorkerTable workers = new WorkerTable();
            FleetLoadEstimate fleetLoad = new FleetLoadEstimate(context, workers);
            HintCalibration hints = new HintCalibration(context);
            ArrivalStatistics arrivals = new ArrivalStatistics(context, workers, hints, fleetLoad);
            fleetLoad.use(arrivals);
            directory = new WorkerDirectory(workers, context, arrivals, hints, new FailureStatistics(context));
            directory.update(RuleCheckingHost.entry("a", 0, 0));
            directory.update(RuleCheckingHost.entry("b", 1, 0));
            freshness.applySettings(false, 10_000);
            freshness.confirmed(START_MS);
            filter = new EligibilityFilter(context, freshness, new RetryPolicy(context));
            request = request(1);
        }

        PendingRequest request(double slots) {
            long deadlineUs = Math.round((START_MS + 9000) * 1000);
            return new PendingRequest(new PolicyRequest(1, 0, 0, deadlineUs, 100, slots, 0), context);
        }

        Worker worker() {
            return directory.find("a");
        }

        /** Adds an ended attempt at the other worker. */
        void addEndedAttempt(boolean neverRan) {
            InFlightAttempt attempt = new InFlightAttempt(request, directory.find("b"), START_MS, 0);
            attempt.ended = true;
            attempt.neverRan = neverRan;
            request.attempts.add(attempt);
        }
    }

    private static Case caseOf(Idempotency idempotency, DeduplicationScope scope) {
        return new Case(RuleCheckingHost.requestClass(idempotency, scope));
    }

    private static Case readLike() {
        return caseOf(Idempotency.READ_LIKE, DeduplicationScope.ALL);
    }

    private void expect(Eligibility expected, Case given) {
        assertEquals(expected, given.filter.check(given.request, given.worker()));
        seen.add(expected);
    }

    @Test
    void theFirstFailingConditionIsReturned() {
        expect(Eligibility.ELIGIBLE, readLike());

        Case draining = readLike();
        draining.directory.update(new EndpointEntry("a", EndpointLifecycle.DRAINING, 1, 0, 0, 0, 0));
        expect(Eligibility.WORKER_NOT_ACTIVE, draining);

        Case stale = readLike();
        stale.freshness.silent(START_MS, 60_000);
        expect(Eligibility.LIST_NOT_CONFIRMED, stale);

        Case otherKind = new Case(new RequestClass(
                400, 2, 10_000, 1, 0, Idempotency.READ_LIKE, DeduplicationScope.ALL, 15_000, false, 5));
        expect(Eligibility.WRONG_WORKER_KIND, otherKind);

        Case large = readLike();
        large.request = large.request(3);
        expect(Eligibility.REQUEST_TOO_LARGE, large);

        Case restricted = readLike();
        PolicyRequest accepted = restricted.request.accepted;
        restricted.request = new PendingRequest(
                new PolicyRequest(
                        1, 0, 0, accepted.deadlineUs(), 100, 1, 0, null, null, 1, worker -> worker.equals("b")),
                restricted.context);
        expect(Eligibility.NOT_AMONG_ALLOWED_WORKERS, restricted);

        Case ended = readLike();
        ended.request.ended = true;
        expect(Eligibility.REQUEST_ENDED, ended);

        Case streaming = readLike();
        streaming.request.responseStarted = true;
        expect(Eligibility.REQUEST_ENDED, streaming);

        Case late = readLike();
        late.context.nowMs = START_MS + 9000;
        expect(Eligibility.DEADLINE_PASSED, late);

        Case inFlight = readLike();
        inFlight.request.attemptsInFlight = 1;
        expect(Eligibility.ATTEMPT_IN_FLIGHT, inFlight);
    }

    @Test
    void earlierAttemptsRestrictWhereTheRequestMayBeSent() {
        Case used = readLike();
        for (int i = 0; i < used.host.settings.permissions().maxAttempts(); i++) {
            used.addEndedAttempt(true);
        }
        expect(Eligibility.ATTEMPTS_USED, used);

        Case mayHaveRun = caseOf(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);
        mayHaveRun.addEndedAttempt(false);
        expect(Eligibility.MAY_HAVE_RUN, mayHaveRun);

        Case neverRan = caseOf(Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL);
        neverRan.addEndedAttempt(true);
        expect(Eligibility.ELIGIBLE, neverRan);

        Case otherCell = caseOf(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL);
        otherCell.addEndedAttempt(false);
        expect(Eligibility.OUTSIDE_DEDUPLICATION_SCOPE, otherCell);

        Case sameZone = caseOf(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE);
        sameZone.addEndedAttempt(false);
        expect(Eligibility.ELIGIBLE, sameZone);

        Case windowOver = caseOf(Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL);
        windowOver.addEndedAttempt(false);
        windowOver.request = atLaterTime(windowOver, START_MS + 60_000);
        expect(Eligibility.MAY_HAVE_RUN, windowOver);
    }

    /** Returns the same request with a later deadline, after the time in which workers drop its repeat. */
    private static PendingRequest atLaterTime(Case given, double nowMs) {
        given.context.nowMs = nowMs;
        given.freshness.confirmed(nowMs);
        long deadlineUs = Math.round((nowMs + 9000) * 1000);
        PendingRequest request = new PendingRequest(new PolicyRequest(1, 0, 0, deadlineUs, 100, 1, 0), given.context);
        request.attempts.addAll(given.request.attempts);
        return request;
    }

    @Test
    void aWorkerInSlowStartTakesNoMoreThanItsBudget() {
        Case starting = readLike();
        starting.worker().slowStart.restart(START_MS);
        expect(Eligibility.ELIGIBLE, starting);
        starting.worker().slowStart.spend(1e6);
        expect(Eligibility.SLOW_START_BUDGET_USED, starting);
    }

    @Test
    void everyConditionIsCoveredByATest() {
        List<Runnable> tests = List.of(
                this::theFirstFailingConditionIsReturned,
                this::earlierAttemptsRestrictWhereTheRequestMayBeSent,
                this::aWorkerInSlowStartTakesNoMoreThanItsBudget);
        tests.forEach(Runnable::run);
        assertEquals(EnumSet.allOf(Eligibility.class), seen);
    }
}
