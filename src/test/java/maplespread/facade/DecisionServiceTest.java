package maplespread.facade;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import maplespread.config.Config;
import maplespread.config.ConfigReader;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointListState;
import maplespread.policy.RejectionReason;
import org.junit.Test;

/** {@link DecisionService} without sockets: the rules it enforces between the network code and the policy. */
public class DecisionServiceTest {
    private static Endpoint endpoint(String worker, Endpoint.State state) {
        return new Endpoint(worker, "127.0.0.1:" + worker.length(), state, 1, 0, 0, 0, 0);
    }

    private static DecisionService serviceWith(String... workers) throws Exception {
        Config config = ConfigReader.read(Files.readString(Path.of("example/config.json")), Map.of());
        DecisionService service = new DecisionService(config.settings(), 7);
        service.reportEndpoints(new EndpointUpdate(
                EndpointUpdate.Kind.CACHED_SNAPSHOT,
                1,
                Arrays.stream(workers)
                        .map(w -> endpoint(w, Endpoint.State.SERVING))
                        .toList()));
        service.reportEndpoints(new EndpointUpdate(EndpointUpdate.Kind.DELTA, 1, List.of()));
        return service;
    }

    /** Returns the decision on the request while another thread runs the service's timers. */
    private static Decision decideWithTimers(DecisionService service, InFlightRequest request)
            throws InterruptedException {
        Thread ticker = new Thread(() -> {
            try {
                while (true) {
                    service.tick(1000);
                }
            } catch (InterruptedException expected) {
                // the decision has been made
            }
        });
        ticker.start();
        try {
            return service.decide(request);
        } finally {
            ticker.interrupt();
            ticker.join();
        }
    }

    private static InFlightRequest request(DecisionService service, int requestClass, double waitMs) {
        return new InFlightRequest(requestClass, 0, service.nowUs() + Math.round(waitMs * 1000), 100, 1, 0, null);
    }

    /**
     * Guards against quotas divided by too few dispatchers: with subsets the policy counts only the dispatchers that
     * share a worker, while a quota is divided among all.
     */
    @Test
    public void quotasAreDividedByAllDispatchersAndNotByThoseOfASubset() throws Exception {
        Config config = ConfigReader.read(Files.readString(Path.of("example/config.json")), Map.of());
        var fleetSettings = config.settings().withDispatcherCount(10_000);
        DecisionService service = new DecisionService(fleetSettings.withDispatcherCount(1), 7, true);
        double deadlineMs = fleetSettings.classes().get(0).deadlineMs();
        InFlightRequest[] requests = new InFlightRequest[20];
        for (int i = 0; i < requests.length; i++) { // no worker: requests within the quota are rejected too
            double waitMs = i == 0 ? 30 : deadlineMs + 500;
            requests[i] = new InFlightRequest(
                    0,
                    0,
                    service.nowUs() + Math.round(waitMs * 1000),
                    100,
                    1,
                    0,
                    null,
                    i == 0 ? fleetSettings.withDispatcherCount(1) : fleetSettings);
        }
        service.decide(requests[0]);
        double leastWeight = 1;
        for (InFlightRequest request : requests) {
            leastWeight = Math.min(leastWeight, service.priorityWeight(request));
        }
        assertTrue(
                "20 requests at once exceed 1/10000 of the quota, but the least weight is " + leastWeight,
                leastWeight < 0.1);
    }

    /** Guards against sending to a worker that began to drain between the decision and the send. */
    @Test
    public void aDrainNotifiedAfterTheDecisionForbidsTheSend() throws Exception {
        DecisionService service = serviceWith("a", "bb");
        Attempt attempt = (Attempt) service.decide(request(service, 0, 4000));
        assertEquals(SendCheck.ALLOWED, service.checkSend(attempt));
        service.reportEndpoints(new EndpointUpdate(
                EndpointUpdate.Kind.DELTA, 2, List.of(endpoint(attempt.worker(), Endpoint.State.DRAINING))));
        assertEquals(SendCheck.SERVER_NOT_LISTED, service.checkSend(attempt));
        service.reportAttemptEnded(attempt, Outcome.NEVER_SENT, null);
        Attempt next = (Attempt) service.decide(attempt.request());
        assertEquals("the next attempt goes to the other worker", 1, next.number());
        assertFalse(next.worker().equals(attempt.worker()));
    }

    /** Guards against sending a request whose client left while the connection to the worker was established. */
    @Test
    public void aClientThatLeftAfterTheDecisionForbidsTheSend() throws Exception {
        DecisionService service = serviceWith("a", "bb");
        Attempt attempt = (Attempt) service.decide(request(service, 1, 4000));
        assertEquals(SendCheck.ALLOWED, service.checkSend(attempt));
        service.reportClientLeft(attempt.request());
        assertEquals(SendCheck.REQUEST_ENDED, service.checkSend(attempt));
    }

    /** Guards against missed drains: the list may become stale while the connection is established. */
    @Test
    public void aListThatBecameStaleAfterTheDecisionForbidsTheSend() throws Exception {
        DecisionService service = serviceWith("a", "bb");
        Attempt attempt = (Attempt) service.decide(request(service, 0, 4000));
        service.reportListUnconfirmed(EndpointListDoubt.SILENT, 3000);
        assertEquals(SendCheck.ALLOWED, service.checkSend(attempt));
        service.reportEndpoints(new EndpointUpdate(EndpointUpdate.Kind.DELTA, 1, List.of()));
        service.reportListUnconfirmed(EndpointListDoubt.SILENT, 6000);
        assertEquals(SendCheck.LIST_NOT_CONFIRMED, service.checkSend(attempt));
        service.reportAttemptEnded(attempt, Outcome.NEVER_SENT, null);
        Decision decision = decideWithTimers(service, attempt.request());
        assertTrue(
                decision.toString(),
                decision instanceof Decision.Rejected rejected
                        && rejected.reason() == RejectionReason.LIST_NOT_CONFIRMED);
    }

    /** Guards the order of sources: an update from discovery's former address does not confirm the list. */
    @Test
    public void anUpdateFromAFormerSourceConfirmsNothing() throws Exception {
        DecisionService service = serviceWith("a");
        service.reportListUnconfirmed(EndpointListDoubt.MOVED, 0);
        service.reportEndpoints(new EndpointUpdate(EndpointUpdate.Kind.DELTA, 2, List.of(), false));
        assertEquals(EndpointListState.RENEWING, service.listState());
        service.reportEndpoints(new EndpointUpdate(EndpointUpdate.Kind.DELTA, 2, List.of(), true));
        assertEquals(EndpointListState.CONFIRMED, service.listState());
    }

    /** Guards full snapshots: a worker that is absent from one is removed. */
    @Test
    public void aFullSnapshotRemovesAbsentWorkers() throws Exception {
        DecisionService service = serviceWith("a");
        Attempt attempt = (Attempt) service.decide(request(service, 0, 4000));
        service.reportEndpoints(new EndpointUpdate(
                EndpointUpdate.Kind.FULL_SNAPSHOT, 2, List.of(endpoint("bb", Endpoint.State.SERVING))));
        assertEquals(SendCheck.SERVER_NOT_LISTED, service.checkSend(attempt));
        assertEquals(List.of("127.0.0.1:2"), service.endpointAddresses());
    }

    /** Guards against running a non-idempotent request twice: after an outcome that may have run it fails. */
    @Test
    public void aNonIdempotentRequestThatMayHaveRunFails() throws Exception {
        DecisionService service = serviceWith("a", "bb");
        for (Outcome outcome : new Outcome[] {Outcome.ERROR, Outcome.RESET, Outcome.TIMED_OUT}) {
            InFlightRequest request = request(service, 1, 4000);
            service.reportAttemptEnded((Attempt) service.decide(request), outcome, null);
            assertTrue(outcome.toString(), service.decide(request) instanceof Decision.Failed);
        }
    }

    /** Guards against attempts without an outcome: a client may leave after the decision and before the send. */
    @Test
    public void aClientThatLeavesEndsAnAttemptThatIsNotSentYet() throws Exception {
        DecisionService service = serviceWith("a", "bb");
        InFlightRequest request = request(service, 0, 4000);
        // The next attempt is decided at once and not read.
        service.reportAttemptEnded((Attempt) service.decide(request), Outcome.REJECTED, null);
        service.reportClientLeft(request);
        assertEquals(0, request.attemptsInFlight);
        assertTrue(service.decide(request) instanceof Decision.ClientLeft);
    }

    /** Guards the service against the policy's exceptions: a rejected event fails its request and no other. */
    @Test
    public void aRequestThatThePolicyRejectsWithAnExceptionFails() throws Exception {
        DecisionService service = serviceWith("a");
        assertTrue(service.decide(request(service, 99, 4000)) instanceof Decision.Failed);
        assertTrue(service.decide(request(service, 0, 4000)) instanceof Attempt);
    }

    /** Guards the client: without a worker the request is rejected in time, with a delay for the retry. */
    @Test
    public void withoutAWorkerTheRejectionComesInTimeWithARetryDelay() throws Exception {
        DecisionService service = serviceWith();
        Decision.Rejected rejected = (Decision.Rejected) decideWithTimers(service, request(service, 1, 4000));
        assertTrue(
                "retry after " + rejected.retryAfterMs(),
                rejected.retryAfterMs() >= 100 && rejected.retryAfterMs() <= 2000);
    }
}
