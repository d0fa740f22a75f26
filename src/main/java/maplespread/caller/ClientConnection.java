package maplespread.caller;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.concurrent.RejectedExecutionException;
import maplespread.config.Config;
import maplespread.facade.Attempt;
import maplespread.facade.Decision;
import maplespread.facade.DecisionService;
import maplespread.facade.InFlightRequest;
import maplespread.facade.Outcome;
import maplespread.http.HttpConnection;
import maplespread.http.HttpException;
import maplespread.http.HttpHead;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;
import maplespread.http.RateLimitedLogger;
import maplespread.log.Event;
import maplespread.policy.RejectionReason;
import maplespread.worker.AttemptResult;
import org.tinylog.Logger;

/**
 * One client connection. Its own thread reads, also while a branch runs, so that a client's leaving is seen;
 * the transaction's thread picks, runs branches and answers.
 */
final class ClientConnection implements Runnable {
    private static final long POLL_MS = 1000;
    private static final long PART_MS = 200; // the same while the process ends or drains
    private static final long SPARE_MS = 200; // for the one request of a leg turned away
    private static final long LINGER_MS = 2000; // enough to pass over 60 MB
    private static final double FULL_PAUSE_MS = 250; // beyond capacity the module is not asked
    private static final int MOST_FAULTS = 4; // in a row, then the connection ends
    private static final long FAULT_PAUSE_MS = 25; // doubles with each
    private static final RateLimitedLogger UNSERVED = new RateLimitedLogger();
    private static final RequestSequencer.Permit NO_TURN = new RequestSequencer.Permit() { // where jobs have no order
                @Override
                public boolean isValid() {
                    return true;
                }

                @Override
                public void attemptCompleted(Outcome how) {}

                @Override
                public RequestSequencer.Completion release(boolean served) {
                    return RequestSequencer.Completion.ENDED;
                }

                @Override
                public RequestSequencer.FinalResponse permitLostResponse() {
                    return null;
                }
            };

    /**
     * RESTING: no byte of a request has been read. READING: one has begun and is not whole. WORKING: a whole
     * one is held. ENDING: its place is wanted; what it has brought is refused, and no more is read.
     */
    private enum Phase {
        RESTING,
        READING,
        WORKING,
        ENDING
    }

    private final HttpConnection connection;
    private final ServingContext service;
    private final DecisionService dispatcher;
    private final Config.Times times;
    private final boolean turnAway;
    private final long connectedAt = System.nanoTime();
    private volatile long quietSince = connectedAt; // when it last had anything to do
    private volatile boolean useful; // it has brought a request worth an answer
    private volatile ClientResponse current; // null where no whole request is held
    private volatile boolean parts; // ends by itself, between requests
    private Phase phase = Phase.RESTING; // guarded by this leg, with current
    private boolean answered;
    private boolean old; // the request came before it was looked for
    private int faults; // unacceptable requests in a row

    /** {@code turnAway}: beyond the number of legs, so its one request is refused. */
    ClientConnection(HttpConnection connection, ServingContext service, boolean turnAway) {
        this.connection = connection;
        this.service = service;
        this.dispatcher = service.dispatcher();
        this.times = service.config().times();
        this.turnAway = turnAway;
    }

    /** Whether it has ever brought a request that was acceptable. */
    boolean useful() {
        return useful;
    }

    /** Whether it may yet turn out to be useless. */
    boolean untried() {
        return !useful && (phase() == Phase.RESTING || phase() == Phase.READING);
    }

    boolean ending() {
        return phase() == Phase.ENDING;
    }

    /** With its answer a request is over, though this leg's thread may still wait for its client's bytes. */
    private synchronized Phase phase() {
        return phase == Phase.WORKING && current.given() ? Phase.RESTING : phase;
    }

    /** False where it is to end. */
    private synchronized boolean enter(Phase next, ClientResponse held) {
        if (phase == Phase.ENDING) {
            return false;
        }
        phase = next;
        current = held;
        return true;
    }

    long quietSince() {
        return quietSince;
    }

    /** Whether nothing has come on it that waits to be read, and no part of a useful client's request. */
    boolean silent() {
        return (phase() == Phase.RESTING || untried()) && !connection.pending();
    }

    /** Whether no part of a request has come: it may end with nobody the worse for it. */
    boolean quiet() {
        return phase() == Phase.RESTING && !connection.pending();
    }

    void cutIfStuck() {
        connection.cutIfStuck(times.clientReadMs());
    }

    /**
     * It is to end when it next waits for a request and nothing of one has come. Its own thread sees to that:
     * what comes at this moment, in pieces too, is read whole and answered. To end its reading from outside
     * would have the rest of such a request unread.
     */
    void part() {
        parts = true;
    }

    /**
     * Ends it at once, for its place is wanted; false where a request has come meanwhile. What crosses it is
     * unread, or refused: once its reading has ended here, a client's leaving could not be seen.
     */
    synchronized boolean end() {
        Phase now = phase();
        if (now != Phase.RESTING && (useful || now != Phase.READING)) {
            return false;
        }
        phase = Phase.ENDING;
        connection.endReading();
        return true;
    }

    /** Fails the request that it holds: it may have run, and its end will not be seen here. */
    void fail() {
        ClientResponse now = current;
        if (now != null && !now.given()) {
            now.failed(502, "the dispatcher ends");
        }
    }

    /** Refuses whatever it brings, unread: for when no thread is left that could read it. */
    void refuse() {
        service.metrics().unread();
        new ClientResponse(connection, () -> true, service.metrics()).busy(FULL_PAUSE_MS);
        connection.close();
    }

    @Override
    public void run() {
        try {
            boolean more = true;
            while (more) {
                more = one();
            }
        } catch (IOException left) {
            // the client has gone, and nothing was owed to it
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException | Error e) { // guards the process from any one connection
            Logger.error(e, "a caller leg failed");
        } finally {
            connection.close();
        }
    }

    /** One request and its answer; whether the connection goes on. */
    private boolean one() throws IOException, InterruptedException {
        ByteArrayOutputStream body = new ByteArrayOutputStream(256);
        HttpParser parser = HttpParser.request(body::write);
        old = connection.buffer().hasRemaining();
        if (!first()) {
            return false;
        }
        // The first request is to be whole soon after connecting, whatever the client does in between.
        long whole = (answered ? System.nanoTime() : connectedAt) + readMs() * 1_000_000;
        ClientResponse answer =
                new ClientResponse(connection, () -> !parser.done() || ends(parser.head()), service.metrics());
        quietSince = System.nanoTime();
        boolean large = false;
        try {
            if (!enter(Phase.READING, null)) {
                answer.busy(FULL_PAUSE_MS);
                return false;
            }
            connection.receiveBy(parser, whole, true);
            if (parser.bodyLength() > ServingContext.LARGE) {
                large = service.largeBodyPermits().tryAcquire();
            }
            if (parser.bodyLength() > ServingContext.LARGE && !large) {
                String lane = parser.head().get("X-Lane");
                if (service.config().names().place(lane) >= 0) {
                    answer.taken(lane);
                }
                answer.busy(FULL_PAUSE_MS); // unread, so the connection ends with it
                linger();
                return false;
            }
            if (!parser.done() && parser.head().lists("Expect", "100-continue")) {
                connection.send(HttpWriter.response(100).bytes());
            }
            connection.receiveBy(parser, whole, false);
            if (!enter(Phase.WORKING, answer)) {
                answer.busy(FULL_PAUSE_MS);
                return false;
            }
            long lastByteUs = dispatcher.nowUs();
            old |= connection.stood();
            HttpHead head = parser.head();
            if (early()) {
                broken(answer);
            } else if (!page(head, answer)) {
                job(new ClientRequest(service, head, body.toByteArray(), lastByteUs), answer);
            }
        } catch (HttpException bad) {
            // After malformed framing nothing on the connection can be trusted; a mere wrong value may go on.
            fault(answer, bad.status(), bad.getMessage());
        } catch (SocketTimeoutException slow) {
            answer.plain(408, "request not whole in time");
        } catch (EOFException cut) {
            if (!ending()) {
                throw cut; // its client has left
            }
            answer.busy(FULL_PAUSE_MS);
        } finally {
            if (large) {
                service.largeBodyPermits().release();
            }
        }
        boolean stays = enter(Phase.RESTING, null);
        if (answer.closed()) {
            linger();
            return false;
        }
        answered = true;
        quietSince = System.nanoTime();
        return stays || connection.buffer().hasRemaining(); // read, so it is answered
    }

    /** Turns a request down that no worker may see. */
    private void fault(ClientResponse answer, int status, String why) {
        faults++;
        service.metrics().faulty();
        answer.failed(status, why);
    }

    /** Ends the connection on bytes out of turn; false where the request had its answer before. */
    private boolean broken(ClientResponse answer) {
        boolean first = answer.broken("one request at a time");
        if (first) {
            service.metrics().faulty();
        }
        return first;
    }

    private long readMs() {
        return turnAway ? SPARE_MS : times.clientReadMs();
    }

    /** Whether the connection is to end after this request. */
    private boolean ends(HttpHead head) {
        return turnAway
                || ending()
                || parts
                || faults >= MOST_FAULTS
                || !head.keepsAlive()
                || service.closingConnections().getAsBoolean();
    }

    /**
     * Waits for a request's first byte. A leg that has brought nothing yet, or only faults, is not waited for
     * as long as a useful one: guards the places against crowds that connect, or ask once, and stay.
     */
    private boolean first() throws IOException, InterruptedException {
        if (faults > 0) {
            Thread.sleep(FAULT_PAUSE_MS << faults); // the same again at once is not worth more
        }
        if (connection.buffer().hasRemaining()) {
            return true; // what has been read is taken, ending or not
        }
        long wait = turnAway ? SPARE_MS : useful ? times.clientIdleMs() : times.clientReadMs();
        long end = System.nanoTime() + wait * 1_000_000;
        for (long left = wait; left > 0; left = (end - System.nanoTime()) / 1_000_000) {
            if ((ending() || parts) && !connection.pending()) {
                return false;
            }
            try {
                return connection.fill(Math.min(left, pollMs()));
            } catch (SocketTimeoutException quiet) {
                // look again
            }
        }
        return false;
    }

    private long pollMs() {
        return service.serving().getAsBoolean() ? POLL_MS : PART_MS;
    }

    /**
     * Whether bytes have come beyond the request. The protocol has one at a time, so either the client
     * floods, or it means another length than it stated: then neither part is what it seems. Empty lines are
     * passed over, as some clients end their bodies with one.
     */
    private boolean early() throws IOException {
        do {
            ByteBuffer buffer = connection.buffer();
            while (buffer.hasRemaining()) {
                byte b = buffer.get(buffer.position());
                if (b != '\r' && b != '\n') {
                    return true;
                }
                buffer.get();
            }
        } while (connection.pending() && connection.fill(POLL_MS));
        return false;
    }

    private boolean page(HttpHead head, ClientResponse answer) {
        if (!head.target().equals("/ready")) {
            return false;
        }
        if (!head.method().equals("GET")) {
            answer.failed(405, "GET only");
        } else if (!service.serving().getAsBoolean() || !dispatcher.canServe()) {
            answer.plain(503, "not ready");
        } else {
            String why = service.notReadyReason().get();
            answer.plain(why == null ? 200 : 503, why == null ? "ready" : "not ready: " + why);
        }
        return true;
    }

    private void job(ClientRequest job, ClientResponse answer) throws IOException, InterruptedException {
        if (turnAway || !service.requestPermits().tryAcquire()) {
            answer.taken(job, service.requestListener());
            answer.busy(FULL_PAUSE_MS);
            return;
        }
        String id = job.message.id();
        if (!service.recentIds().register(id)) { // the same request may not run twice
            service.requestPermits().release();
            fault(answer, 409, "this X-Txn was used before");
            return;
        }
        useful = true;
        faults = 0;
        if (old && connection.ended()) { // or watch would see it too late
            answer.drop();
            service.recentIds().complete(id);
            service.requestPermits().release();
            return;
        }
        answer.taken(job, job.handedOn() ? null : service.requestListener()); // its wait began elsewhere
        try {
            service.requestThreads().execute(() -> {
                try {
                    transact(job, answer);
                } finally {
                    service.recentIds().complete(id);
                    service.requestPermits().release();
                }
            });
        } catch (RejectedExecutionException | OutOfMemoryError e) { // no thread is to be had
            service.recentIds().complete(id);
            service.requestPermits().release();
            answer.busy(FULL_PAUSE_MS);
            return;
        }
        watch(job.transaction, answer);
    }

    /** Reads on while the transaction is in work: an end here means that the client has left. */
    private void watch(InFlightRequest t, ClientResponse answer) throws IOException, InterruptedException {
        while (!answer.given()) {
            try {
                if (!connection.fill(pollMs())) {
                    leave(t, answer);
                    return;
                }
                if (early()) {
                    if (broken(answer)) {
                        left(t);
                    }
                    answer.awaitGiven(); // else it was on its way: this is the next
                    return;
                }
            } catch (SocketTimeoutException quiet) {
                // look again
            } catch (IOException e) {
                leave(t, answer);
                return;
            }
        }
    }

    private void leave(InFlightRequest t, ClientResponse answer) {
        if (!answer.given()) {
            answer.drop();
            left(t);
        }
        connection.close();
    }

    private void left(InFlightRequest t) {
        if (service.sequencer() != null) {
            service.sequencer().clientLeft(t);
        }
        dispatcher.reportClientLeft(t);
    }

    private void transact(ClientRequest job, ClientResponse answer) {
        RequestSequencer.Permit go = NO_TURN;
        boolean over = false;
        try {
            if (service.sequencer() != null) {
                RequestSequencer.SequencingResult turn = service.sequencer().acquire(job.job(dispatcher.nowUs()));
                if (turn instanceof RequestSequencer.FinalResponse said) {
                    say(job, answer, said);
                }
                if (!(turn instanceof RequestSequencer.Permit mine)) {
                    return;
                }
                go = mine;
                if (answer.given()) { // its client has left meanwhile
                    over = true;
                    go.release(false);
                    return;
                }
            }
            while (true) {
                if (!go.isValid()) {
                    dispatcher.reportClientLeft(job.transaction);
                    over = true;
                    lost(job, answer, go);
                    return;
                }
                Decision decision = dispatcher.decide(job.transaction);
                if (decision instanceof Attempt branch) {
                    if (branch(job, branch, answer, go)) {
                        over = true;
                        return;
                    }
                    continue;
                }
                over = true;
                boolean sure = go.release(false) != RequestSequencer.Completion.IN_DOUBT;
                if (decision instanceof Decision.Rejected busy) {
                    unserved(job, busy.reason());
                    answer.busy(busy.retryAfterMs());
                    return;
                }
                if (decision instanceof Decision.Failed failed) {
                    unserved(job, failed.reason());
                }
                if (decision instanceof Decision.Failed && sure) {
                    answer.failed(502, "no worker served it");
                } else if (decision instanceof Decision.Failed) {
                    answer.doubtful("it may have run, or may yet run");
                }
                return; // else the client has left
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException | Error e) { // guards the process, as above
            Logger.error(e, "a transaction failed");
            dispatcher.reportClientLeft(job.transaction);
        } finally {
            if (!over) {
                go.attemptCompleted(Outcome.RESET); // nobody knows
                go.release(false);
            }
            if (!answer.given()) {
                answer.failed(500, "internal error");
            }
        }
    }

    /** Refusals under load are counted alone; each other reason is worth a line. */
    private void unserved(ClientRequest job, RejectionReason why) {
        service.metrics().unserved(why);
        if (why != RejectionReason.OVERLOADED) {
            UNSERVED.info(() -> Event.of(
                    "request.unserved", "transaction", job.message.id(), "why", why, "list", dispatcher.listState()));
        }
    }

    private void say(ClientRequest job, ClientResponse answer, RequestSequencer.FinalResponse said) {
        if (!said.idConsumed()) {
            service.recentIds().unregister(job.message.id());
        }
        answer.said(said);
    }

    /** The turn was lost before the job could be sent, or between two attempts. */
    private void lost(ClientRequest job, ClientResponse answer, RequestSequencer.Permit go) {
        if (go.release(false) == RequestSequencer.Completion.NEVER_RAN) {
            say(job, answer, go.permitLostResponse());
        } else {
            answer.doubtful("it may have run, and its turn was lost");
        }
    }

    /** Runs a branch; whether it served the transaction. */
    private boolean branch(ClientRequest job, Attempt branch, ClientResponse answer, RequestSequencer.Permit go) {
        AttemptResult end = null;
        Outcome outcome = Outcome.RESET; // should the run itself fail
        answer.tried(branch.worker());
        try {
            end = service.attemptRunner().run(branch, job.message);
            outcome = end.outcome;
            go.attemptCompleted(outcome);
            if (outcome == Outcome.SERVED) {
                go.release(true); // the next one need not wait for this client
                answer.served(end.body);
            }
        } finally {
            dispatcher.reportAttemptEnded(branch, outcome, end == null ? null : end.load);
        }
        end.finish();
        return outcome == Outcome.SERVED;
    }

    /** Lets the answer arrive before the connection closes: unread bytes would reset it. */
    private void linger() {
        long end = System.nanoTime() + LINGER_MS * 1_000_000;
        try {
            for (long now = System.nanoTime(); now < end; now = System.nanoTime()) {
                connection.buffer().position(connection.buffer().limit());
                if (!connection.fill((end - now) / 1_000_000)) {
                    return;
                }
            }
        } catch (IOException e) {
            // gone or silent
        }
    }
}
