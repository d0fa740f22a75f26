package maplespread.worker;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.function.Supplier;
import maplespread.config.Config;
import maplespread.facade.Action;
import maplespread.facade.DecisionService;
import maplespread.facade.Outcome;
import maplespread.facade.WorkerLoad;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;

/** Probes a worker for its load report and reports the result to the decision service. Blocks its caller's thread. */
public final class Prober {
    /** Maximum size of a response in bytes. */
    private static final int MAX_RESPONSE_BYTES = 16 * 1024;

    private static final Set<String> KEPT_FIELDS = Set.of("x-pressure");

    private final Supplier<Config> config;
    private final ConnectionPool pool;
    private final DecisionService decisions;

    /** Creates a prober that uses the pool's connections. */
    public Prober(Supplier<Config> config, ConnectionPool pool, DecisionService decisions) {
        this.config = config;
        this.pool = pool;
        this.decisions = decisions;
    }

    /** Sends one probe; every probe ends with exactly one report to the decision service. */
    public void probe(Action.Probe probe) {
        long startNanos = System.nanoTime();
        WorkerLoad load = null;
        Outcome outcome;
        ConnectionPool.PooledConnection connection = null;
        try {
            connection = pool.acquire(probe.address(), config.get().times().dialMs(), ConnectionReuse.IF_RELIABLE);
            outcome = Outcome.RESET;
            connection.connection.send(
                    HttpWriter.request("GET", "/status/load", probe.address()).bytes());
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            HttpParser parser = HttpParser.response(KEPT_FIELDS, MAX_RESPONSE_BYTES, body::write);
            connection.connection.receive(parser, config.get().times().probeMs());
            outcome = parser.head().status() == 200 ? Outcome.SERVED : Outcome.ERROR;
            load = WorkerStreamReader.load(body.toString(StandardCharsets.UTF_8));
            load = load == null ? WorkerStreamReader.load(parser.head().get("X-Pressure")) : load;
            if (parser.done() && parser.head().keepsAlive()) {
                pool.release(connection);
                connection = null;
            }
        } catch (SocketTimeoutException e) {
            outcome = connection == null ? Outcome.CONNECT_FAILED : Outcome.TIMED_OUT;
        } catch (IOException | RuntimeException | Error e) { // without a report the policy would wait for ever
            outcome = connection == null ? Outcome.CONNECT_FAILED : Outcome.RESET;
        }
        if (connection != null) {
            pool.close(connection);
        }
        decisions.reportProbeEnded(probe, outcome, (System.nanoTime() - startNanos) / 1e6, load);
    }
}
