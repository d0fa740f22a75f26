package maplespread.worker;

import java.io.IOException;
import maplespread.facade.Outcome;
import maplespread.facade.WorkerLoad;
import maplespread.http.HttpParser;

/**
 * How an attempt ended. {@link #finish} is to be called once its outcome has been passed on, by the thread that ran the
 * attempt.
 */
public final class AttemptResult {
    /** Milliseconds for the final chunk after the final line. */
    private static final long FINAL_CHUNK_MS = 50;

    /** How it ended. */
    public final Outcome outcome;
    /** The worker's result; null unless it served. */
    public final byte[] body;
    /** The load report that came with it, or null. */
    public final WorkerLoad load;

    private final ConnectionPool pool;
    private final ConnectionPool.PooledConnection connection;
    private final HttpParser parser;

    private AttemptResult(
            Outcome outcome,
            byte[] body,
            WorkerLoad load,
            ConnectionPool pool,
            ConnectionPool.PooledConnection connection,
            HttpParser parser) {
        this.outcome = outcome;
        this.body = body;
        this.load = load;
        this.pool = pool;
        this.connection = connection;
        this.parser = parser;
    }

    /** One whose connection carries no other request. */
    static AttemptResult of(Outcome outcome) {
        return new AttemptResult(outcome, null, null, null, null, null);
    }

    /** One whose connection may carry another request, once its response is whole. */
    static AttemptResult of(
            Outcome outcome,
            byte[] body,
            WorkerLoad load,
            ConnectionPool pool,
            ConnectionPool.PooledConnection connection,
            HttpParser parser) {
        return new AttemptResult(outcome, body, load, pool, connection, parser);
    }

    /** Keeps the connection where the response ends with its whole final chunk in time, else closes it. */
    public void finish() {
        if (connection == null) {
            return;
        }
        if (endsWhole()) {
            pool.release(connection);
        } else {
            pool.close(connection);
        }
    }

    private boolean endsWhole() {
        try {
            connection.connection.receive(parser, FINAL_CHUNK_MS);
        } catch (IOException e) {
            return false;
        }
        return parser.done()
                && parser.head().keepsAlive()
                && !connection.connection.buffer().hasRemaining();
    }
}
