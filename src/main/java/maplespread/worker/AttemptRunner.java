package maplespread.worker;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import maplespread.config.Config;
import maplespread.facade.Attempt;
import maplespread.facade.DecisionService;
import maplespread.facade.Outcome;
import maplespread.facade.SendCheck;
import maplespread.http.HttpException;
import maplespread.http.HttpHead;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;
import maplespread.http.LineSplitter;
import maplespread.http.RateLimitedLogger;
import maplespread.log.Event;
import maplespread.metrics.Metrics;
import maplespread.policy.EndpointListState;

/**
 * Runs attempts: one request to one worker each, sent once and never again by itself. An attempt runs on its caller's
 * thread; any thread may cancel it.
 */
public final class AttemptRunner {
    /** Bytes of a line: a result of 64 KiB, escaped. */
    private static final int MAX_LINE_BYTES = 256 * 1024;

    private static final long MAX_RESPONSE_BYTES = 1 << 20;

    private final Supplier<Config> config;
    private final ConnectionPool pool;
    private final DecisionService decisions;
    private final Metrics metrics;
    private final RateLimitedLogger malformedLog = new RateLimitedLogger();
    private final RateLimitedLogger notSentLog = new RateLimitedLogger();
    private final RateLimitedLogger unconfirmedLog = new RateLimitedLogger();
    private final Map<Attempt, RunningAttempt> running = new ConcurrentHashMap<>();

    /** Runs attempts over the pool's connections and reports their progress to the decisions. */
    public AttemptRunner(Supplier<Config> config, ConnectionPool pool, DecisionService decisions, Metrics metrics) {
        this.config = config;
        this.pool = pool;
        this.decisions = decisions;
        this.metrics = metrics;
    }

    /** Gives an attempt up by closing its connection; it still returns a result. */
    public void cancel(Attempt attempt) {
        RunningAttempt found = running.get(attempt);
        if (found != null) {
            found.cancel();
        }
    }

    /** Cuts off attempts past their deadlines whose workers do not take the request in: no read limit ends a write. */
    public void sweep() {
        running.forEach((attempt, state) -> {
            if (remainingMs(attempt) < 0) {
                state.cutIfStuck();
            }
        });
    }

    /** Sends the request and blocks until the attempt's end, at most until the request's deadline. */
    public AttemptResult run(Attempt attempt, WorkerRequest request) {
        RunningAttempt state = new RunningAttempt();
        running.put(attempt, state);
        try {
            return run(attempt, request, state);
        } finally {
            running.remove(attempt);
        }
    }

    private AttemptResult run(Attempt attempt, WorkerRequest request, RunningAttempt state) {
        ConnectionPool.PooledConnection connection;
        try {
            boolean atMostOnce = !decisions.isIdempotent(attempt);
            connection = pool.acquire(attempt.address(), Math.max(1, remainingMs(attempt)), atMostOnce);
        } catch (IOException | IllegalArgumentException e) {
            return AttemptResult.of(state.cancelled() ? Outcome.NEVER_SENT : Outcome.CONNECT_FAILED);
        }
        state.use(connection.connection);
        // Asked again: a drain that was notified while the connection came up allows nothing new to that worker.
        long remainingMs = remainingMs(attempt);
        SendCheck check = decisions.checkSend(attempt);
        if (check != SendCheck.ALLOWED || state.cancelled() || remainingMs <= 0) {
            pool.release(connection);
            logNotSent(attempt, request, check, state.cancelled());
            return AttemptResult.of(Outcome.NEVER_SENT);
        }
        Outcome failure = send(attempt, request, state, connection, remainingMs);
        if (failure != null) {
            return AttemptResult.of(failure);
        }
        try {
            return receive(attempt, request, state, connection);
        } catch (RuntimeException | Error e) {
            pool.close(connection);
            throw e;
        }
    }

    private void logNotSent(Attempt attempt, WorkerRequest request, SendCheck check, boolean cancelled) {
        Object why = check;
        if (check == SendCheck.ALLOWED) {
            why = cancelled ? "CANCELLED" : "OUT_OF_TIME";
        }
        Object reason = why;
        notSentLog.info(
                () -> Event.of("attempt.not_sent", "request", request.id(), "worker", attempt.worker(), "why", reason));
    }

    /** Writes the request once; returns how the attempt ended where its last byte was never written, else null. */
    private Outcome send(
            Attempt attempt,
            WorkerRequest request,
            RunningAttempt state,
            ConnectionPool.PooledConnection connection,
            long remainingMs) {
        HttpWriter head = HttpWriter.request(request.method(), request.target(), attempt.address())
                .field("X-Txn", request.id())
                .field("X-Remaining-Ms", Long.toString(remainingMs));
        request.fields().forEach(field -> head.field(field[0], field[1]));
        try {
            connection.connection.send(head.body(request.body()));
        } catch (IOException e) {
            pool.close(connection);
            if (state.cancelled()) { // cut off here: it tells nothing of the worker
                return Outcome.NEVER_SENT;
            }
            pool.recordUse(connection, true);
            return connection.reused ? Outcome.NEVER_SENT : Outcome.CONNECT_FAILED;
        }
        metrics.attemptSent();
        EndpointListState list = decisions.listState();
        if (list != EndpointListState.CONFIRMED) {
            unconfirmedLog.info(() -> Event.of(
                    "attempt.sent_by_unconfirmed_list",
                    "request",
                    request.id(),
                    "worker",
                    attempt.worker(),
                    "list",
                    list));
        }
        return null;
    }

    private AttemptResult receive(
            Attempt attempt, WorkerRequest request, RunningAttempt state, ConnectionPool.PooledConnection connection) {
        WorkerStreamReader lines = new WorkerStreamReader(
                request.id(), (started, share) -> decisions.reportProgress(attempt, started, share));
        HttpParser parser = HttpParser.response(MAX_RESPONSE_BYTES, new LineSplitter(MAX_LINE_BYTES, lines::line));
        ResponseWait wait = new ResponseWait(attempt);
        try {
            while (lines.outcome == null) {
                boolean whole = parser.feed(connection.connection.buffer());
                if (parser.headDone() && parser.head().status() != 200) {
                    return rejection(connection, parser);
                }
                if (lines.outcome != null) {
                    break;
                }
                if (whole) { // the response ended before its final line
                    pool.close(connection);
                    return AttemptResult.of(Outcome.RESET);
                }
                if (!connection.connection.fill(wait.remainingMs())) {
                    return broken(connection, wait.heard);
                }
                if (!wait.heard) {
                    wait.heard = true;
                    pool.recordUse(connection, false);
                }
            }
            return AttemptResult.of(lines.outcome, lines.result, lines.load, pool, connection, parser);
        } catch (SocketTimeoutException e) {
            pool.close(connection);
            return AttemptResult.of(Outcome.TIMED_OUT);
        } catch (HttpException e) {
            return malformed(attempt, state, connection, e);
        } catch (IOException e) {
            if (state.cancelled()) {
                pool.close(connection);
                return AttemptResult.of(Outcome.CANCELLED);
            }
            return broken(connection, wait.heard);
        }
    }

    /** How long the next bytes of a response may take. */
    private final class ResponseWait {
        private final Attempt attempt;
        private final long firstByteByMs;
        /** Whether any byte has come. */
        private boolean heard;

        /**
         * A worker's head comes when it has taken the request, long before the end: without it the connection or the
         * worker is silent. Only what may be repeated can be given up for that.
         */
        ResponseWait(Attempt attempt) {
            this.attempt = attempt;
            firstByteByMs = decisions.isIdempotent(attempt)
                    ? nowMs() + config.get().times().firstByteMs()
                    : Long.MAX_VALUE;
        }

        long remainingMs() throws SocketTimeoutException {
            long remainingMs = AttemptRunner.this.remainingMs(attempt);
            if (!heard) {
                remainingMs = Math.min(remainingMs, firstByteByMs - nowMs());
            }
            if (remainingMs <= 0) {
                throw new SocketTimeoutException();
            }
            return remainingMs;
        }
    }

    /** Only a marked 503 or 504 proves that the request never ran. */
    private AttemptResult rejection(ConnectionPool.PooledConnection connection, HttpParser parser) {
        HttpHead head = parser.head();
        boolean marked = "1".equals(head.get("X-Turned-Away"));
        boolean neverRan = marked && (head.status() == 503 || head.status() == 504);
        return AttemptResult.of(
                neverRan ? Outcome.REJECTED : Outcome.ERROR,
                null,
                WorkerStreamReader.load(head.get("X-Pressure")),
                pool,
                connection,
                parser);
    }

    private AttemptResult malformed(
            Attempt attempt, RunningAttempt state, ConnectionPool.PooledConnection connection, HttpException error) {
        pool.close(connection);
        if (state.cancelled()) {
            return AttemptResult.of(Outcome.CANCELLED);
        }
        if (connection.reused) {
            pool.recordUnexpectedBytes(); // they may belong to the response before
        }
        malformedLog.warn("malformed answer of worker " + attempt.worker() + ": " + error.getMessage());
        return AttemptResult.of(Outcome.RESET);
    }

    private AttemptResult broken(ConnectionPool.PooledConnection connection, boolean heard) {
        pool.close(connection);
        if (!heard) {
            pool.recordUse(connection, true);
        }
        return AttemptResult.of(connection.reused && !heard ? Outcome.STALE_CONNECTION_RESET : Outcome.RESET);
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private long remainingMs(Attempt attempt) {
        return (attempt.request().deadlineUs() - decisions.nowUs()) / 1000;
    }
}
