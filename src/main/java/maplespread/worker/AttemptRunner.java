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
import maplespread.facade.WorkerLoad;
import maplespread.http.HttpConnection;
import maplespread.http.HttpException;
import maplespread.http.HttpHead;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;
import maplespread.http.LineSplitter;
import maplespread.http.RateLimitedLogger;
import maplespread.log.Event;
import maplespread.metrics.Metrics;
import maplespread.policy.EndpointListState;

/** Runs branches: one request to one worker each, sent once and never again by itself. */
public final class AttemptRunner {
    private static final int LONGEST_LINE = 256 * 1024; // a result of 64 KiB, escaped
    private static final long MOST_BYTES = 1 << 20;
    private static final long TAIL_MS = 50; // for the final chunk after the final line

    /** A branch that is out: where it can be cut off. */
    private static final class Running {
        HttpConnection connection;
        boolean cancelled;

        synchronized void over(HttpConnection c) {
            connection = c;
            if (cancelled) {
                c.close();
            }
        }

        synchronized void cancel() {
            cancelled = true;
            if (connection != null) {
                connection.close();
            }
        }

        synchronized void cutIfStuck() {
            if (connection != null) {
                connection.cutIfStuck(0);
            }
        }

        synchronized boolean cancelled() {
            return cancelled;
        }
    }

    /** How a branch ended; {@link #finish} is to be called once its outcome has been passed on. */
    public final class AttemptResult {
        public final Outcome outcome;
        public final byte[] result;
        public final WorkerLoad load;
        private final ConnectionPool.PooledConnection link; // null where it cannot carry another request
        private final HttpParser parser;

        private AttemptResult(
                Outcome outcome,
                byte[] result,
                WorkerLoad load,
                ConnectionPool.PooledConnection link,
                HttpParser parser) {
            this.outcome = outcome;
            this.result = result;
            this.load = load;
            this.link = link;
            this.parser = parser;
        }

        /** Keeps the connection where the answer ends with its whole final chunk in time, else closes it. */
        public void finish() {
            if (link == null) {
                return;
            }
            try {
                link.connection.receive(parser, TAIL_MS);
                if (parser.done()
                        && parser.head().keepsAlive()
                        && !link.connection.buffer().hasRemaining()) {
                    links.release(link);
                    return;
                }
            } catch (IOException e) {
                // not whole: closed below
            }
            links.close(link);
        }
    }

    private final Supplier<Config> config;
    private final ConnectionPool links;
    private final DecisionService dispatcher;
    private final Metrics figures;
    private final RateLimitedLogger seldom = new RateLimitedLogger();
    private final RateLimitedLogger notSent = new RateLimitedLogger();
    private final RateLimitedLogger unconfirmed = new RateLimitedLogger();
    private final Map<Attempt, Running> running = new ConcurrentHashMap<>();

    public AttemptRunner(Supplier<Config> config, ConnectionPool links, DecisionService dispatcher, Metrics figures) {
        this.config = config;
        this.links = links;
        this.dispatcher = dispatcher;
        this.figures = figures;
    }

    /** Gives a branch up by closing its connection. */
    public void cancel(Attempt branch) {
        Running r = running.get(branch);
        if (r != null) {
            r.cancel();
        }
    }

    /** Cuts off branches whose workers do not take the request in: no read limit ends a write. */
    public void sweep() {
        running.forEach((branch, r) -> {
            if (leftMs(branch) < 0) {
                r.cutIfStuck();
            }
        });
    }

    /** Sends the message and waits for the branch's end, at most until its transaction's deadline. */
    public AttemptResult run(Attempt branch, WorkerRequest message) {
        Running me = new Running();
        running.put(branch, me);
        try {
            return run(branch, message, me);
        } finally {
            running.remove(branch);
        }
    }

    private AttemptResult run(Attempt branch, WorkerRequest message, Running me) {
        ConnectionPool.PooledConnection link;
        try {
            link = links.acquire(branch.address(), Math.max(1, leftMs(branch)), !dispatcher.isIdempotent(branch));
        } catch (IOException | IllegalArgumentException e) {
            return ended(me.cancelled() ? Outcome.NEVER_SENT : Outcome.CONNECT_FAILED);
        }
        me.over(link.connection);
        // A drain may have been told while the connection came up: nothing new goes there after that.
        long left = leftMs(branch);
        SendCheck check = dispatcher.checkSend(branch);
        if (check != SendCheck.ALLOWED || me.cancelled() || left <= 0) {
            links.release(link);
            notSent.info(() -> Event.of(
                    "attempt.not_sent",
                    "transaction",
                    message.id(),
                    "worker",
                    branch.worker(),
                    "why",
                    check != SendCheck.ALLOWED ? check : me.cancelled() ? "CANCELLED" : "OUT_OF_TIME"));
            return ended(Outcome.NEVER_SENT);
        }
        HttpWriter request = HttpWriter.request(message.method(), message.target(), branch.address())
                .field("X-Txn", message.id())
                .field("X-Remaining-Ms", Long.toString(left));
        message.fields().forEach(f -> request.field(f[0], f[1]));
        try {
            link.connection.send(request.body(message.body()));
            figures.attempt();
            EndpointListState list = dispatcher.listState();
            if (list != EndpointListState.CONFIRMED) {
                unconfirmed.info(() -> Event.of(
                        "attempt.sent_by_unconfirmed_list",
                        "transaction",
                        message.id(),
                        "worker",
                        branch.worker(),
                        "list",
                        list));
            }
        } catch (IOException e) { // its last byte was never written
            links.close(link);
            if (me.cancelled()) { // cut off here: no word against the worker
                return ended(Outcome.NEVER_SENT);
            }
            links.recordUse(link, true);
            return ended(link.reused ? Outcome.NEVER_SENT : Outcome.CONNECT_FAILED);
        }
        try {
            return answer(branch, message, me, link);
        } catch (RuntimeException | Error e) {
            links.close(link);
            throw e;
        }
    }

    private AttemptResult answer(
            Attempt branch, WorkerRequest message, Running me, ConnectionPool.PooledConnection link) {
        WorkerStreamReader lines = new WorkerStreamReader(
                message.id(), (started, share) -> dispatcher.reportProgress(branch, started, share));
        HttpParser parser = HttpParser.response(MOST_BYTES, new LineSplitter(LONGEST_LINE, lines::line));
        // A worker's head comes when it has taken the job, long before the job's end: without it, the
        // connection or the worker is silent. Only what may be repeated can be given up for that.
        long firstByteBy =
                dispatcher.isIdempotent(branch) ? now() + config.get().times().firstByteMs() : Long.MAX_VALUE;
        boolean heard = false;
        try {
            while (lines.outcome == null) {
                boolean whole = parser.feed(link.connection.buffer());
                if (parser.headDone() && parser.head().status() != 200) {
                    return new AttemptResult(
                            refused(parser.head()),
                            null,
                            WorkerStreamReader.load(parser.head().get("X-Pressure")),
                            link,
                            parser);
                }
                if (lines.outcome != null) {
                    break;
                }
                if (whole) { // ended before the last line
                    links.close(link);
                    return ended(Outcome.RESET);
                }
                long left = heard ? leftMs(branch) : Math.min(leftMs(branch), firstByteBy - now());
                if (left <= 0) {
                    throw new SocketTimeoutException();
                }
                if (!link.connection.fill(left)) {
                    return broke(link, heard);
                }
                if (!heard) {
                    heard = true;
                    links.recordUse(link, false);
                }
            }
            return new AttemptResult(lines.outcome, lines.result, lines.load, link, parser);
        } catch (SocketTimeoutException e) {
            links.close(link);
            return ended(Outcome.TIMED_OUT);
        } catch (IOException e) {
            links.close(link);
            if (me.cancelled()) {
                return ended(Outcome.CANCELLED);
            }
            if (e instanceof HttpException) {
                if (link.reused) {
                    links.recordUnexpectedBytes(); // it may belong to an answer before it
                }
                seldom.warn("malformed answer of worker " + branch.worker() + ": " + e.getMessage());
                return ended(Outcome.RESET);
            }
            return broke(link, heard);
        }
    }

    private AttemptResult broke(ConnectionPool.PooledConnection link, boolean heard) {
        links.close(link);
        if (!heard) {
            links.recordUse(link, true);
        }
        return ended(link.reused && !heard ? Outcome.STALE_CONNECTION_RESET : Outcome.RESET);
    }

    /** Only a marked 503 or 504 proves that the job never ran. */
    private static Outcome refused(HttpHead head) {
        boolean away = "1".equals(head.get("X-Turned-Away"));
        return away && (head.status() == 503 || head.status() == 504) ? Outcome.REJECTED : Outcome.ERROR;
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private long leftMs(Attempt branch) {
        return (branch.request().deadlineUs() - dispatcher.nowUs()) / 1000;
    }

    private AttemptResult ended(Outcome outcome) {
        return new AttemptResult(outcome, null, null, null, null);
    }
}
