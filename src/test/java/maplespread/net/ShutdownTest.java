package maplespread.net;

import static maplespread.net.Loopback.until;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import maplespread.DispatcherServer;
import maplespread.Lifecycle;
import maplespread.caller.ClientListener;
import maplespread.caller.RecentRequestIds;
import maplespread.caller.ServingContext;
import maplespread.config.Config;
import maplespread.config.ConfigReader;
import maplespread.facade.DecisionService;
import maplespread.facade.EndpointUpdate;
import maplespread.http.HttpConnection;
import maplespread.http.HttpParser;
import maplespread.http.MemoryBudget;
import maplespread.metrics.Metrics;
import maplespread.net.Loopback.Peer;
import maplespread.worker.AttemptRunner;
import maplespread.worker.ConnectionPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What becomes of requests that come at each instant of a connection's end. The sockets are real; the story
 * stands between the listener and the system, and acts in the very moment of a step.
 */
class ShutdownTest {
    private static final String REQUEST = "GET /ready HTTP/1.1\r\nHost: t\r\n\r\n";

    /** Steps of the accepted side at which a story may act. */
    enum Step {
        LOOKED,
        READS,
        HAS_READ,
        CLOSES,
        ACCEPTS,
        NONE_CAME
    }

    private final AtomicReference<Step> awaited = new AtomicReference<>();
    private final AtomicInteger passed = new AtomicInteger();
    private volatile Runnable act = () -> {};
    private final Thread story = Thread.currentThread();
    private final AtomicInteger bytesRead = new AtomicInteger();
    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread t = new Thread(work);
        t.setDaemon(true);
        return t;
    });
    private final MemoryBudget memory = new MemoryBudget(1 << 23);
    private volatile boolean parting;
    private volatile Config.Limits sizes;
    private Runnable known; // has the dispatcher know its worker
    private Peer worker;
    private Door door;
    private ClientListener listener;

    private void at(Step step) {
        if (step == Step.LOOKED && Thread.currentThread() != story) {
            return; // a leg that looks by itself would wait here for what only it can read
        }
        if (awaited.get() == step && passed.decrementAndGet() < 0 && awaited.compareAndSet(step, null)) {
            act.run();
        }
    }

    /** Once, by whichever thread comes to that step after so many have. */
    private void when(Step step, int after, Runnable what) {
        act = what;
        passed.set(after);
        awaited.set(step);
    }

    /** Holds whoever comes to the step next. */
    private Gate gate(Step step, int after) {
        Gate gate = new Gate();
        when(step, after, gate::pass);
        return gate;
    }

    /** A socket of an accepted connection. */
    private final class Watched extends Socket {
        @Override
        public InputStream getInputStream() throws IOException {
            return new FilterInputStream(super.getInputStream()) {
                @Override
                public int read(byte[] b, int off, int len) throws IOException {
                    at(Step.READS);
                    int n = in.read(b, off, len);
                    bytesRead.addAndGet(Math.max(0, n));
                    at(Step.HAS_READ);
                    return n;
                }

                @Override
                public int available() throws IOException {
                    int n = in.available();
                    at(Step.LOOKED);
                    return n;
                }
            };
        }

        @Override
        public void close() throws IOException {
            at(Step.CLOSES);
            super.close();
        }
    }

    private final class Door extends ServerSocket {
        volatile int waited; // in vain, last

        Door() throws IOException {
            super(0, 50, InetAddress.getLoopbackAddress());
        }

        @Override
        public Socket accept() throws IOException {
            Watched came = new Watched();
            at(Step.ACCEPTS);
            try {
                implAccept(came);
            } catch (SocketTimeoutException none) {
                waited = getSoTimeout();
                at(Step.NONE_CAME);
                throw none;
            }
            return came;
        }
    }

    @BeforeEach
    void open() throws Exception {
        worker = new Peer(call -> {});
        Config config = ConfigReader.read(Loopback.config(worker.address(), worker), Map.of());
        sizes = config.limits();
        Metrics figures = new Metrics();
        DecisionService dispatcher = new DecisionService(config.settings(), 1, false);
        known = () -> {
            dispatcher.reportEndpoints(config.cachedEndpoints());
            dispatcher.reportEndpoints(new EndpointUpdate(EndpointUpdate.Kind.DELTA, 1, List.of()));
        };
        ConnectionPool links = new ConnectionPool(() -> config, config::limits);
        ServingContext service = new ServingContext(
                () -> config,
                dispatcher,
                new AttemptRunner(() -> config, links, dispatcher, figures, memory),
                threads,
                () -> sizes,
                figures,
                new ServingContext.ServiceState(() -> !parting, () -> null, () -> parting, () -> Long.MAX_VALUE),
                new ServingContext.RequestHooks(
                        new RecentRequestIds(() -> config.times().longestDeadlineMs()), memory, null, null));
        door = new Door();
        listener = new ClientListener(door, service, threads, threads);
        threads.execute(listener);
    }

    @AfterEach
    void close() throws IOException {
        listener.close();
        until("the listener's end", listener::closed);
        threads.shutdownNow();
        worker.close();
    }

    private HttpConnection client() throws IOException {
        return HttpConnection.dial(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), door.getLocalPort()), Loopback.LIMIT_MS);
    }

    private static void send(HttpConnection link, String text) {
        try {
            link.send(text.getBytes());
        } catch (IOException e) {
            // closed: the story looks at what was read
        }
    }

    /** The status of the answer; 0: the connection ended without a byte of one. */
    private static int status(HttpConnection link) throws IOException {
        HttpParser parser = HttpParser.responseOrError(1 << 16, (bytes, at, length) -> {});
        try {
            if (!link.fill(Loopback.LIMIT_MS)) {
                return 0;
            }
        } catch (SocketTimeoutException silent) {
            throw silent;
        } catch (IOException reset) {
            return 0;
        }
        link.receive(parser, Loopback.LIMIT_MS);
        return parser.head().status();
    }

    /**
     * A resting connection is told to end, and a request comes in that moment: whole, or in two pieces. It is
     * answered, or nothing of it was read.
     */
    @Test
    void whatComesWhileAConnectionEndsIsAnsweredOrUnread() throws Exception {
        int[] firsts = {REQUEST.length(), 1, 9, REQUEST.length() - 1};
        for (Step step : new Step[] {Step.LOOKED, Step.READS, Step.HAS_READ, Step.CLOSES}) {
            for (int i = 0; i < 2 * firsts.length; i++) {
                crossed(step, i < firsts.length, REQUEST.substring(0, firsts[i % firsts.length]));
            }
        }
    }

    /** {@code used}: the connection has brought a request before; {@code first}: the piece that crosses. */
    private void crossed(Step step, boolean used, String first) throws IOException {
        String what = step + (used ? ", used, " : ", fresh, ") + first.length();
        parting = false;
        Gate gate = step == Step.READS ? gate(step, used ? 1 : 0) : null;
        try (HttpConnection client = client()) {
            until(what, () -> listener.size() == 1);
            if (used) {
                send(client, REQUEST);
                assertTrue(status(client) > 0, what);
            }
            int before = bytesRead.get();
            parting = true;
            switch (step) {
                case LOOKED ->
                    when(
                            step,
                            0,
                            () -> { // the end rests on a look from before it
                                send(client, first);
                                until(what, () -> bytesRead.get() > before);
                            });
                case CLOSES -> when(step, 0, () -> send(client, first));
                case READS -> gate.reached();
                default -> {
                    gate = gate(step, 0);
                    send(client, first);
                    gate.reached();
                }
            }
            listener.closeIdleConnections();
            if (gate != null) {
                if (step == Step.READS) {
                    send(client, first);
                }
                gate.open();
            }
            if (step == Step.CLOSES) {
                until(what, () -> awaited.get() == null);
            }
            send(client, REQUEST.substring(first.length()));
            assertTrue(
                    status(client) > 0 || bytesRead.get() == before,
                    what + ": lost, with " + (bytesRead.get() - before) + " bytes of it read");
        }
        until(what + ": its end", () -> listener.closeIdleConnections() || listener.size() == 0);
    }

    private void room(int legs, int kept) {
        sizes = new Config.Limits(8, legs, kept, 8, 8, 8);
    }

    /**
     * A leg's place is wanted in the moment in which it has read a request, or a part of one: that is refused
     * and not lost, nor served where its client's leaving could not be seen.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 9, 1000})
    void whatIsReadWhileItsPlaceIsWantedIsAnswered(int length) throws Exception {
        String first = REQUEST.substring(0, Math.min(length, REQUEST.length()));
        room(1, 8);
        known.run();
        try (HttpConnection client = client()) {
            until("it is there", () -> listener.size() == 1);
            Gate gate = gate(Step.HAS_READ, 0);
            send(client, first);
            gate.reached();
            try (HttpConnection other = client()) {
                until("the other has its place", () -> listener.size() == 2);
                gate.open();
                assertEquals(503, status(client));
                send(other, REQUEST);
                assertTrue(status(other) > 0);
            }
        }
    }

    /** A useful client's request comes in pieces while too many connections are kept: another one ends. */
    @Test
    void aRequestInPiecesKeepsItsConnection() throws Exception {
        room(8, 1);
        known.run();
        worker.script = call -> {
            call.open();
            call.done("ok");
        };
        try (HttpConnection early = client();
                HttpConnection late = client()) {
            for (HttpConnection each : new HttpConnection[] {early, late}) {
                send(each, Loopback.job("page", each == early ? "early" : "late", 4000));
                assertEquals(200, status(each));
            }
            int before = bytesRead.get();
            send(early, REQUEST.substring(0, 9));
            until("it is read", () -> bytesRead.get() == before + 9);
            send(late, REQUEST); // so it has rested for less time
            assertEquals(200, status(late));
            try (HttpConnection fourth = client()) { // its coming has one of the two end
                send(fourth, REQUEST);
                assertEquals(200, status(fourth));
                send(early, REQUEST.substring(9));
                assertEquals(200, status(early), "lost, read in part");
                assertEquals(0, status(late));
            }
        }
    }

    /** What the system has accepted and the program not yet is served, before the listener is over. */
    @Test
    void whatWaitsInTheQueueIsServedBeforeTheListenerCloses() throws Exception {
        Gate gate = gate(Step.ACCEPTS, 0);
        gate.reached();
        HttpConnection[] waiting = new HttpConnection[20];
        for (int i = 0; i < waiting.length; i++) {
            waiting[i] = client();
            send(waiting[i], REQUEST.substring(0, 1 + i % REQUEST.length()));
        }
        until(
                "all are in the queue",
                () -> Loopback.connections(door.getLocalPort(), Loopback.ESTABLISHED) == waiting.length);
        listener.close();
        assertTrue(!listener.closed());
        gate.open();
        until("it is closed", listener::closed);
        parting = true;
        for (int i = 0; i < waiting.length; i++) {
            send(waiting[i], REQUEST.substring(1 + i % REQUEST.length()));
            assertTrue(status(waiting[i]) > 0, "client " + i);
            waiting[i].close();
        }
        until("all are over", () -> listener.closeIdleConnections() || listener.size() == 0);
    }

    /** A listener with nobody connected is wanted where clients with jobs have just left. */
    @Test
    void whoBroughtJobsMayComeAgainSoon() throws Exception {
        for (String request : List.of(REQUEST, Loopback.job("page", "w", 4000))) {
            try (HttpConnection client = client()) {
                send(client, request);
                until("it is read", () -> bytesRead.get() >= request.length());
                assertTrue(listener.hasRecentClients(0), "one is connected");
            }
            until("it has left", () -> listener.size() == 0);
            assertEquals(!request.equals(REQUEST), listener.hasRecentClients(Loopback.LIMIT_MS * 1000), request);
            assertTrue(!listener.hasRecentClients(0));
        }
    }

    /** Waits long for a request's rest, and soon finishes: a loaded machine is not to decide the story. */
    private static Config patient(Config c) {
        Config.Times t = c.times();
        return new Config(
                c.name(),
                c.listen(),
                c.console(),
                c.tmp(),
                c.discovery(),
                c.seed(),
                c.settings(),
                c.names(),
                c.limits(),
                new Config.Times(
                        t.dialMs(),
                        t.firstByteMs(),
                        t.probeMs(),
                        t.workerIdleMs(),
                        t.clientIdleMs(),
                        Loopback.LIMIT_MS,
                        t.watchTimeouts(),
                        t.longestDeadlineMs(),
                        50,
                        300,
                        Loopback.LIMIT_MS,
                        t.firstListMs()),
                c.cachedEndpoints(),
                c.keys());
    }

    /** Stopped twice, in service, in a drain, or beside the process that takes over. */
    @ParameterizedTest
    @ValueSource(strings = {"serving", "drained", "relieved"})
    void halfARequestAtTheStopIsAnswered(String from, @TempDir Path dir) throws Exception {
        try (Peer done = new Peer(call -> {
                    call.open();
                    call.done("ok");
                });
                Loopback here = new Loopback(Loopback::console, done)) {
            here.server.stop(); // its port is free: the story's
            Config config = patient(Loopback.console(
                    ConfigReader.read(here.file, Map.of()),
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), here.server.port()),
                    dir));
            here.server = new DispatcherServer(config, () -> config);
            here.server.start();
            DispatcherServer old = here.server;
            String job = Loopback.job("order", from, 4000);
            try (Loopback.Client client = here.new Client();
                    Loopback.Client fresh = here.new Client()) {
                assertEquals(200, client.status(Loopback.job("page", "before", 4000)));
                client.send(job.substring(0, 40));
                if (from.equals("drained")) {
                    assertTrue(old.lifecycle().quiesce());
                } else if (from.equals("relieved")) {
                    here.server = new DispatcherServer(config, () -> config);
                    here.server.start();
                }
                fresh.send(job.replace(": " + from, ": fresh").substring(0, 1));
                Thread stop = new Thread(old::stop);
                stop.start();
                old.lifecycle().await(Lifecycle.Phase.DRAINING);
                old.stop(); // the second one leaves it to the first
                old.lifecycle().await(Lifecycle.Phase.FINISHING);
                assertEquals(200, client.status(job.substring(40)));
                assertEquals(
                        200, fresh.status(job.replace(": " + from, ": fresh").substring(1)));
                client.close();
                fresh.close();
                stop.join(Loopback.LIMIT_MS);
                assertEquals(Lifecycle.Phase.STOPPED, old.lifecycle().phase());
            }
        }
    }

    /** After the last look into the queue nothing that comes is read: its client may turn elsewhere. */
    @Test
    void whatComesAfterTheLastLookIsNotRead() throws Exception {
        AtomicReference<HttpConnection> late = new AtomicReference<>();
        Gate gate = gate(Step.ACCEPTS, 0);
        gate.reached();
        listener.close();
        when(
                Step.NONE_CAME,
                1,
                () -> { // the one before may have begun earlier
                    try {
                        late.set(client());
                        send(late.get(), REQUEST);
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                });
        gate.open();
        until("it is closed", listener::closed);
        assertEquals(0, status(late.get()));
        assertEquals(0, bytesRead.get());
        assertTrue(door.waited >= 50, "it comes late into the queue of a loaded machine: " + door.waited);
        late.get().close();
    }
}
