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

/** The facade alone, with no socket: what it guards between the network code and the module. */
public class DecisionServiceTest {
    private static Endpoint route(String worker, Endpoint.State state) {
        return new Endpoint(worker, "127.0.0.1:" + worker.length(), state, 1, 0, 0, 0, 0);
    }

    private static DecisionService dispatcher(String... workers) throws Exception {
        Config c = ConfigReader.read(Files.readString(Path.of("example/config.json")), Map.of());
        DecisionService d = new DecisionService(c.settings(), 7);
        d.reportEndpoints(new EndpointUpdate(
                EndpointUpdate.Kind.CACHED_SNAPSHOT,
                1,
                Arrays.stream(workers)
                        .map(w -> route(w, Endpoint.State.SERVING))
                        .toList()));
        d.reportEndpoints(new EndpointUpdate(EndpointUpdate.Kind.DELTA, 1, List.of()));
        return d;
    }

    /** The decision, while the dispatcher's timers run as they do in service. */
    private static Decision decidedWithTimers(DecisionService d, InFlightRequest t) throws InterruptedException {
        Thread ticker = new Thread(() -> {
            try {
                while (true) {
                    d.tick(1000);
                }
            } catch (InterruptedException over) {
                // the decision has been made
            }
        });
        ticker.start();
        try {
            return d.decide(t);
        } finally {
            ticker.interrupt();
            ticker.join();
        }
    }

    private static InFlightRequest job(DecisionService d, int cls, double waitMs) {
        return new InFlightRequest(cls, 0, d.nowUs() + Math.round(waitMs * 1000), 100, 1, 0, null);
    }

    /**
     * With subsets the module's count is of those that meet at a worker; allowances are for all there are.
     */
    @Test
    public void sharesGoByAllDispatchersAndNotByThoseOfASubset() throws Exception {
        Config c = ConfigReader.read(Files.readString(Path.of("example/config.json")), Map.of());
        var told = c.settings().withDispatcherCount(10_000);
        DecisionService d = new DecisionService(told.withDispatcherCount(1), 7, true);
        double whole = told.classes().get(0).deadlineMs();
        InFlightRequest[] jobs = new InFlightRequest[20];
        for (int i = 0; i < jobs.length; i++) { // no worker: turned away, those within too
            double waitMs = i == 0 ? 30 : whole + 500;
            jobs[i] = new InFlightRequest(
                    0,
                    0,
                    d.nowUs() + Math.round(waitMs * 1000),
                    100,
                    1,
                    0,
                    null,
                    i == 0 ? told.withDispatcherCount(1) : told);
        }
        d.decide(jobs[0]);
        double least = 1;
        for (InFlightRequest t : jobs) {
            least = Math.min(least, d.priorityWeight(t));
        }
        assertTrue("twenty at once are beyond a ten-thousandth, but count " + least, least < 0.1);
    }

    /** Guards drains told between the pick and the send. */
    @Test
    public void aDrainToldAfterThePickForbidsTheSend() throws Exception {
        DecisionService d = dispatcher("a", "bb");
        Attempt b = (Attempt) d.decide(job(d, 0, 4000));
        assertEquals(SendCheck.ALLOWED, d.checkSend(b));
        d.reportEndpoints(
                new EndpointUpdate(EndpointUpdate.Kind.DELTA, 2, List.of(route(b.worker(), Endpoint.State.DRAINING))));
        assertEquals(SendCheck.SERVER_NOT_LISTED, d.checkSend(b));
        d.reportAttemptEnded(b, Outcome.NEVER_SENT, null);
        Attempt next = (Attempt) d.decide(b.request());
        assertEquals("it goes to the other", 1, next.number());
        assertFalse(next.worker().equals(b.worker()));
    }

    /** Guards clients that leave while the connection to the worker comes up: nobody waits for that work. */
    @Test
    public void aClientThatLeftAfterThePickForbidsTheSend() throws Exception {
        DecisionService d = dispatcher("a", "bb");
        Attempt b = (Attempt) d.decide(job(d, 1, 4000));
        assertEquals(SendCheck.ALLOWED, d.checkSend(b));
        d.reportClientLeft(b.request());
        assertEquals(SendCheck.REQUEST_ENDED, d.checkSend(b));
    }

    /** Guards drains that were never told: the list may go stale while a connection comes up. */
    @Test
    public void aListThatWentStaleAfterThePickForbidsTheSend() throws Exception {
        DecisionService d = dispatcher("a", "bb");
        Attempt b = (Attempt) d.decide(job(d, 0, 4000));
        d.reportListUnconfirmed(EndpointListDoubt.SILENT, 3000);
        assertEquals(SendCheck.ALLOWED, d.checkSend(b));
        d.reportEndpoints(new EndpointUpdate(EndpointUpdate.Kind.DELTA, 1, List.of()));
        d.reportListUnconfirmed(EndpointListDoubt.SILENT, 6000);
        assertEquals(SendCheck.LIST_NOT_CONFIRMED, d.checkSend(b));
        d.reportAttemptEnded(b, Outcome.NEVER_SENT, null);
        Decision decision = decidedWithTimers(d, b.request());
        assertTrue(
                decision.toString(),
                decision instanceof Decision.Rejected busy && busy.reason() == RejectionReason.LIST_NOT_CONFIRMED);
    }

    /** Guards the order of sources: what the address left behind says does not vouch for the one that counts now. */
    @Test
    public void newsOfASourceLeftBehindConfirmsNothing() throws Exception {
        DecisionService d = dispatcher("a");
        d.reportListUnconfirmed(EndpointListDoubt.MOVED, 0);
        d.reportEndpoints(new EndpointUpdate(EndpointUpdate.Kind.DELTA, 2, List.of(), false));
        assertEquals(EndpointListState.RENEWING, d.listState());
        d.reportEndpoints(new EndpointUpdate(EndpointUpdate.Kind.DELTA, 2, List.of(), true));
        assertEquals(EndpointListState.CONFIRMED, d.listState());
    }

    /** Guards the whole list: who is absent from it is gone. */
    @Test
    public void aWholeListDropsTheAbsent() throws Exception {
        DecisionService d = dispatcher("a");
        Attempt b = (Attempt) d.decide(job(d, 0, 4000));
        d.reportEndpoints(
                new EndpointUpdate(EndpointUpdate.Kind.FULL_SNAPSHOT, 2, List.of(route("bb", Endpoint.State.SERVING))));
        assertEquals(SendCheck.SERVER_NOT_LISTED, d.checkSend(b));
        assertEquals(List.of("127.0.0.1:2"), d.endpointAddresses());
    }

    /** Guards orders: after an outcome that may have run there is an end, and no second branch. */
    @Test
    public void anOrderThatMayHaveRunEnds() throws Exception {
        DecisionService d = dispatcher("a", "bb");
        for (Outcome o : new Outcome[] {Outcome.ERROR, Outcome.RESET, Outcome.TIMED_OUT}) {
            InFlightRequest t = job(d, 1, 4000);
            d.reportAttemptEnded((Attempt) d.decide(t), o, null);
            assertTrue(o.toString(), d.decide(t) instanceof Decision.Failed);
        }
    }

    /** Guards a client that leaves when its branch is picked and not yet sent: the branch gets its end. */
    @Test
    public void leavingEndsABranchThatNobodyWillSend() throws Exception {
        DecisionService d = dispatcher("a", "bb");
        InFlightRequest t = job(d, 0, 4000);
        d.reportAttemptEnded((Attempt) d.decide(t), Outcome.REJECTED, null); // the next branch waits to be read
        d.reportClientLeft(t);
        assertEquals(0, t.attemptsInFlight);
        assertTrue(d.decide(t) instanceof Decision.ClientLeft);
    }

    /** Guards the lock's owner: an event that the module rejects ends its transaction and nothing else. */
    @Test
    public void whatTheModuleRejectsIsFailed() throws Exception {
        DecisionService d = dispatcher("a");
        assertTrue(d.decide(job(d, 99, 4000)) instanceof Decision.Failed);
        assertTrue(d.decide(job(d, 0, 4000)) instanceof Attempt);
    }

    /** Guards the client: without a worker the module refuses in time, and says when to come back. */
    @Test
    public void withoutAWorkerTheAnswerComesInTimeWithAPause() throws Exception {
        DecisionService d = dispatcher();
        Decision.Rejected busy = (Decision.Rejected) decidedWithTimers(d, job(d, 1, 4000));
        assertTrue("pause " + busy.retryAfterMs(), busy.retryAfterMs() >= 100 && busy.retryAfterMs() <= 2000);
    }
}
