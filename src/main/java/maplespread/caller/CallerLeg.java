package maplespread.caller;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.concurrent.RejectedExecutionException;
import maplespread.facade.Branch;
import maplespread.facade.Dispatcher;
import maplespread.facade.Outcome;
import maplespread.facade.Transaction;
import maplespread.facade.Word;
import maplespread.http.HttpConnection;
import maplespread.http.HttpError;
import maplespread.http.HttpHead;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;
import maplespread.worker.Branches;
import org.tinylog.Logger;

/**
 * One client connection. Its own thread reads, also while a branch runs, so that a client's leaving is seen;
 * the transaction's thread picks, runs branches and answers.
 */
final class CallerLeg implements Runnable {
    private static final long POLL_MS = 1000;
    private static final double FULL_PAUSE_MS = 250;             // beyond capacity the module is not asked

    private final HttpConnection connection;
    private final Service service;
    private final Dispatcher dispatcher;
    private volatile boolean turnAway;
    private volatile Answer current;                             // null where no request is held
    private volatile boolean ending;

    /** {@code turnAway}: beyond the number of legs, so its one request is refused. */
    CallerLeg(HttpConnection connection, Service service, boolean turnAway) {
        this.connection = connection;
        this.service = service;
        this.dispatcher = service.dispatcher();
        this.turnAway = turnAway;
    }

    /** Whether no request is held that has not been answered. */
    boolean idle() {
        Answer now = current;
        return now == null || now.given();
    }

    void cutIfStuck() {
        connection.cutIfStuck(service.config().times().legReadMs());
    }

    /**
     * Between requests a connection may be closed; a request that crosses it is sent again by its client.
     * False where it was ended before.
     */
    boolean end() {
        boolean first = !ending;
        ending = true;
        connection.endReading();
        return first;
    }

    /** Has its one request refused. */
    void turnAway() {
        turnAway = true;
    }

    @Override public void run() {
        try {
            boolean more = true;
            while (more) {
                more = one();
            }
        } catch (SocketTimeoutException slow) {
            new Answer(connection, () -> true).plain(408, "request not whole in time");
        } catch (IOException left) {
            // the client has gone, and nothing was owed to it
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException | Error e) {                   // guards the process from any one connection
            Logger.error(e, "a caller leg failed");
        } finally {
            connection.close();
        }
    }

    /** One request and its answer; whether the connection goes on. */
    private boolean one() throws IOException, InterruptedException {
        ByteArrayOutputStream body = new ByteArrayOutputStream(256);
        HttpParser parser = HttpParser.request(body::write);
        if (!first()) {
            return false;
        }
        Answer answer = new Answer(connection, () -> !parser.done() || ends(parser.head()));
        current = answer;
        boolean large = false;
        try {
            head(parser);
            if (parser.bodyLength() > Service.LARGE) {
                large = service.largeRoom().tryAcquire();
            }
            if (parser.bodyLength() > Service.LARGE && !large) {
                answer.busy(FULL_PAUSE_MS);                      // unread, so the connection ends with it
                linger();
                return false;
            }
            if (!parser.done() && parser.head().lists("Expect", "100-continue")) {
                connection.send(HttpWriter.response(100).bytes());
            }
            connection.receive(parser, readMs());
            long lastByteUs = dispatcher.nowUs();
            HttpHead head = parser.head();
            if (!page(head, answer)) {
                job(new JobRequest(service.config(), head, body.toByteArray(), lastByteUs), answer);
            }
        } catch (HttpError bad) {
            // After malformed framing nothing on the connection can be trusted; a mere wrong value may go on.
            answer.failed(bad.status(), bad.getMessage());
        } finally {
            if (large) {
                service.largeRoom().release();
            }
        }
        if (answer.closed()) {
            linger();
            return false;
        }
        current = null;
        return true;
    }

    private long readMs() {
        return turnAway ? POLL_MS : service.config().times().legReadMs();
    }

    /** Whether the connection is to end after this request. */
    private boolean ends(HttpHead head) {
        return turnAway || ending || !head.keepsAlive() || !service.serving().getAsBoolean();
    }

    /** Waits for a request's first byte. */
    private boolean first() throws IOException {
        if (connection.buffer().hasRemaining()) {
            return true;                                         // what has been read is taken, ending or not
        }
        long end = System.nanoTime() + service.config().times().legIdleMs() * 1_000_000;
        while (System.nanoTime() < end && !ending) {
            try {
                return connection.fill(turnAway ? POLL_MS : service.config().times().legIdleMs());
            } catch (SocketTimeoutException quiet) {
                if (turnAway) {
                    return false;
                }
            }
        }
        return false;
    }

    /** Reads up to the body. */
    private void head(HttpParser parser) throws IOException {
        long end = System.nanoTime() + readMs() * 1_000_000;
        parser.feed(connection.buffer());
        while (!parser.headDone()) {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                throw new SocketTimeoutException();
            }
            if (!connection.fill(left)) {
                throw new IOException("ended inside a head");
            }
            parser.feed(connection.buffer());
        }
    }

    private boolean page(HttpHead head, Answer answer) {
        if (!head.target().equals("/ready")) {
            return false;
        }
        if (!head.method().equals("GET")) {
            answer.failed(405, "GET only");
        } else if (service.serving().getAsBoolean() && dispatcher.canServe()) {
            answer.plain(200, "ready");
        } else {
            answer.plain(503, "not ready");
        }
        return true;
    }

    private void job(JobRequest job, Answer answer) throws IOException, InterruptedException {
        if (turnAway || !service.room().tryAcquire()) {
            service.counts().busy.increment();
            answer.busy(FULL_PAUSE_MS);
            return;
        }
        String id = job.message.id();
        if (!service.inWork().add(id)) {                         // the same request may not run twice at once
            service.room().release();
            answer.failed(409, "this X-Txn is in work");
            return;
        }
        try {
            service.transactions().execute(() -> {
                try {
                    transact(job, answer);
                } finally {
                    service.inWork().remove(id);
                    service.room().release();
                }
            });
        } catch (RejectedExecutionException | OutOfMemoryError e) {    // no thread is to be had
            service.inWork().remove(id);
            service.room().release();
            answer.busy(FULL_PAUSE_MS);
            return;
        }
        watch(job.transaction, answer);
    }

    /** Reads on while the transaction is in work: an end here means that the client has left. */
    private void watch(Transaction t, Answer answer) throws InterruptedException {
        while (!answer.given()) {
            if (connection.buffer().hasRemaining()) {            // the next request came early: it waits
                answer.awaitGiven();
                return;
            }
            try {
                if (!connection.fill(POLL_MS) && !ending) {
                    leave(t, answer);
                    return;
                }
            } catch (SocketTimeoutException quiet) {
                // look again
            } catch (IOException e) {
                leave(t, answer);
                return;
            }
            if (ending) {
                answer.awaitGiven();
            }
        }
    }

    private void leave(Transaction t, Answer answer) {
        if (!answer.given()) {
            answer.drop();
            service.counts().left.increment();
            dispatcher.reportLeft(t);
        }
        connection.close();
    }

    private void transact(JobRequest job, Answer answer) {
        try {
            while (true) {
                Word word = dispatcher.pick(job.transaction);
                if (word instanceof Branch branch) {
                    if (branch(job, branch, answer)) {
                        return;
                    }
                } else if (word instanceof Word.BusyAnswer busy) {
                    service.counts().busy.increment();
                    answer.busy(busy.pauseMs());
                    return;
                } else if (word instanceof Word.Failed) {
                    service.counts().failed.increment();
                    answer.failed(502, "no worker served it");
                    return;
                } else {
                    return;                                      // the client has left
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException | Error e) {                   // guards the process, as above
            Logger.error(e, "a transaction failed");
            dispatcher.reportLeft(job.transaction);
        } finally {
            if (!answer.given()) {
                answer.failed(500, "internal error");
            }
        }
    }

    /** Runs a branch; whether it served the transaction. */
    private boolean branch(JobRequest job, Branch branch, Answer answer) {
        Branches.Ended end = null;
        Outcome outcome = Outcome.RESET;                         // should the run itself fail
        try {
            end = service.branches().run(branch, job.message);
            outcome = end.outcome;
            if (outcome == Outcome.SERVED) {
                service.counts().served.increment();
                answer.served(end.result);
            }
        } finally {
            dispatcher.report(branch, outcome, end == null ? null : end.load);
        }
        end.finish();
        return outcome == Outcome.SERVED;
    }

    /** Lets the answer arrive before the connection closes: unread bytes would reset it. */
    private void linger() {
        long end = System.nanoTime() + POLL_MS * 1_000_000;
        try {
            while (System.nanoTime() < end) {
                connection.buffer().position(connection.buffer().limit());
                if (!connection.fill(POLL_MS)) {
                    return;
                }
            }
        } catch (IOException e) {
            // gone or silent
        }
    }
}
