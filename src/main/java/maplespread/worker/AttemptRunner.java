package maplespread.worker;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.Set;
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
import maplespread.http.MemoryBudget;
import maplespread.http.RateLimitedLogger;
import maplespread.log.Event;
import maplespread.metrics.Metrics;
import maplespread.policy.EndpointListState;

/**
 * Runs attempts: each sends one request to one worker, once, and is never repeated by this class. An attempt runs on
 * its caller's thread; any thread may cancel it.
 */
public final class AttemptRunner {
    /** Maximum length of a line in bytes: room for a result of 64 KiB, escaped. */
    private static final int MAX_LINE_BYTES = 256 * 1024;

    private static final long MAX_RESPONSE_BYTES = 1 << 20;

    private static final Set<String> KEPT_FIELDS = Set.of("x-turned-away", "x-pressure");

    private final Supplier<Config> config;
    private final ConnectionPool pool;
    private final DecisionService decisions;
    private final Metrics metrics;
    private final MemoryBudget memory;
    private final RateLimitedLogger malformedLog = new RateLimitedLogger();
    private final RateLimitedLogger notSentLog = new RateLimitedLogger();
    private final RateLimitedLogger unconfirmedLog = new RateLimitedLogger();
    private final Map<Attempt, RunningAttempt> running = new ConcurrentHashMap<>();

    /** Creates a runner that uses the pool's connections and reports progress to the decision service. */
    public AttemptRunner(
            Supplier<Config> config,
            ConnectionPool pool,
            DecisionService decisions,
            Metrics metrics,
            MemoryBudget memory) {
        this.memory = memory;
        this.config = config;
        this.pool = pool;
        this.decisions = decisions;
        this.metrics = metrics;
    }

    /** Cancels an attempt by closing its connection; {@link #run} still returns a result. */
    public void cancel(Attempt attempt) {
        RunningAttempt state = running.get(attempt);
        if (state != null) {
            state.cancel();
        }
    }

    /** Closes the connections of attempts past their deadlines that are still writing: writes have no time limit. */
    public void sweep() {
        running.forEach((attempt, state) -> {
            if (remainingMs(attempt) < 0) {
                state.closeIfWriteStalled();
            }
        });
    }

    /** Sends the request and blocks until the attempt ends, at most until the request's deadline. */
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
            ConnectionReuse reuse = decisions.isIdempotent(attempt) ? ConnectionReuse.ANY : ConnectionReuse.IF_SETTLED;
            connection = pool.acquire(attempt.address(), Math.max(1, remainingMs(attempt)), reuse);
        } catch (IOException | IllegalArgumentException e) {
            return AttemptResult.of(state.cancelled() ? Outcome.NEVER_SENT : Outcome.CONNECT_FAILED);
        }
        state.use(connection.connection);
        // Checked again, as a drain notified while the connection was established forbids new requests to the worker.
        long remainingMs = remainingMs(attempt);
        SendCheck check = decisions.checkSend(attempt);
        if (check != SendCheck.ALLOWED || state.cancelled() || remainingMs <= 0) {
            pool.release(connection);
            logNotSent(attempt, request, check, state.cancelled());
            return AttemptResult.of(Outcome.NEVER_SENT);
        }
        try {
            Outcome failure = send(attempt, request, state, connection, remainingMs);
            return failure == null ? receive(attempt, request, state, connection) : AttemptResult.of(failure);
        } catch (RuntimeException | Error e) {
            pool.close(connection);
            throw e;
        }
    }

    private void logNotSent(Attempt attempt, WorkerRequest request, SendCheck check, boolean cancelled) {
        Object notSentReason = check;
        if (check == SendCheck.ALLOWED) {
            notSentReason = cancelled ? "CANCELLED" : "OUT_OF_TIME";
        }
        Object reason = notSentReason;
        notSentLog.info(
                () -> Event.of("attempt.not_sent", "request", request.id(), "worker", attempt.worker(), "why", reason));
    }

    /** Writes the request once; returns the attempt's outcome if the last byte was not written, otherwise null. */
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
            if (state.cancelled()) { // closed by this dispatcher, so no sign of a fault of the worker
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
        LineSplitter splitter = new LineSplitter(MAX_LINE_BYTES, lines::line);
        HttpParser parser = HttpParser.response(KEPT_FIELDS, MAX_RESPONSE_BYTES, splitter);
        ResponseWait wait = new ResponseWait(attempt);
        ResponseMemory responseMemory = new ResponseMemory(memory, state::closeSlow);
        boolean kept = false;
        try {
            while (lines.outcome == null) {
                responseMemory.reserveFor(
                        splitter, connection.connection.buffer().remaining(), wait.untilDeadlineMs());
                boolean complete = parser.feed(connection.connection.buffer());
                if (parser.headDone() && parser.head().status() != 200) {
                    return rejection(connection, parser);
                }
                if (lines.outcome != null) {
                    break;
                }
                responseMemory.lineComplete(splitter);
                if (complete) { // the response ended before its final line
                    pool.close(connection);
                    return AttemptResult.of(Outcome.RESET);
                }
                if (!connection.connection.fill(wait.remainingMs())) {
                    return connectionBroken(connection, wait.received);
                }
                if (!wait.received) {
                    wait.received = true;
                    pool.recordUse(connection, false);
                }
            }
            kept = lines.result != null;
            if (kept) {
                responseMemory.keepResult(lines.result.length);
            }
            return AttemptResult.of(lines, responseMemory, pool, connection, parser);
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
            return connectionBroken(connection, wait.received);
        } finally {
            if (!kept) {
                responseMemory.release();
            }
        }
    }

    /** The time limit for the next bytes of a response. */
    private final class ResponseWait {
        private final Attempt attempt;
        private final long firstByteByMs;
        /** Whether any byte has been received. */
        private boolean received;

        /**
         * A worker sends the head of its response when it has accepted the request, long before the end. If the head is
         * missing, the connection or the worker is unresponsive. Only attempts that may be repeated time out for that
         * reason.
         */
        ResponseWait(Attempt attempt) {
            this.attempt = attempt;
            firstByteByMs = decisions.isIdempotent(attempt)
                    ? nowMs() + config.get().times().firstByteMs()
                    : Long.MAX_VALUE;
        }

        long untilDeadlineMs() {
            return AttemptRunner.this.remainingMs(attempt);
        }

        long remainingMs() throws SocketTimeoutException {
            long remainingMs = AttemptRunner.this.remainingMs(attempt);
            if (!received) {
                remainingMs = Math.min(remainingMs, firstByteByMs - nowMs());
            }
            if (remainingMs <= 0) {
                throw new SocketTimeoutException();
            }
            return remainingMs;
        }
    }

    /** Returns the result for a status other than 200. Only a marked 503 or 504 proves that the request never ran. */
    private AttemptResult rejection(ConnectionPool.PooledConnection connection, HttpParser parser) {
        HttpHead head = parser.head();
        boolean marked = "1".equals(head.get("X-Turned-Away"));
        boolean neverRan = marked && (head.status() == 503 || head.status() == 504);
        return AttemptResult.of(
                neverRan ? Outcome.REJECTED : Outcome.ERROR,
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
            pool.recordUnexpectedBytes(); // the bytes may belong to the previous response
        }
        malformedLog.warn("malformed response from worker " + attempt.worker() + ": " + error.getMessage());
        return AttemptResult.of(Outcome.RESET);
    }

    private AttemptResult connectionBroken(ConnectionPool.PooledConnection connection, boolean received) {
        pool.close(connection);
        if (!received) {
            pool.recordUse(connection, true);
        }
        return AttemptResult.of(connection.reused && !received ? Outcome.STALE_CONNECTION_RESET : Outcome.RESET);
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private long remainingMs(Attempt attempt) {
        return (attempt.request().deadlineUs() - decisions.nowUs()) / 1000;
    }
}
