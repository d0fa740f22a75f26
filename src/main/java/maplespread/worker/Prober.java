package maplespread.worker;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import maplespread.config.Config;
import maplespread.facade.Action;
import maplespread.facade.DecisionService;
import maplespread.facade.Outcome;
import maplespread.facade.WorkerLoad;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;

/** Asks a worker for its load and reports what came of it. */
public final class Prober {
    private static final int MAX_RESPONSE_BYTES = 16 * 1024;
    private final Supplier<Config> config;
    private final ConnectionPool links;
    private final DecisionService dispatcher;

    public Prober(Supplier<Config> config, ConnectionPool links, DecisionService dispatcher) {
        this.config = config;
        this.links = links;
        this.dispatcher = dispatcher;
    }

    public void probe(Action.Probe probe) {
        long start = System.nanoTime();
        WorkerLoad load = null;
        Outcome outcome;
        ConnectionPool.PooledConnection link = null;
        try {
            link = links.acquire(probe.address(), config.get().times().dialMs(), true);
            outcome = Outcome.RESET;
            link.connection.send(
                    HttpWriter.request("GET", "/status/load", probe.address()).bytes());
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            HttpParser parser = HttpParser.response(MAX_RESPONSE_BYTES, body::write);
            link.connection.receive(parser, config.get().times().probeMs());
            outcome = parser.head().status() == 200 ? Outcome.SERVED : Outcome.ERROR;
            load = WorkerStreamReader.load(body.toString(StandardCharsets.UTF_8));
            load = load == null ? WorkerStreamReader.load(parser.head().get("X-Pressure")) : load;
            if (parser.done() && parser.head().keepsAlive()) {
                links.release(link);
                link = null;
            }
        } catch (SocketTimeoutException e) {
            outcome = link == null ? Outcome.CONNECT_FAILED : Outcome.TIMED_OUT;
        } catch (IOException | RuntimeException | Error e) { // unreported, the module would wait for ever
            outcome = link == null ? Outcome.CONNECT_FAILED : Outcome.RESET;
        }
        if (link != null) {
            links.close(link);
        }
        dispatcher.reportProbeEnded(probe, outcome, (System.nanoTime() - start) / 1e6, load);
    }
}
