package maplespread.net;

import static maplespread.net.Loopback.job;
import static maplespread.net.Loopback.until;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import maplespread.caller.ClientListener;
import maplespread.caller.RecentRequestIds;
import maplespread.caller.ServingContext;
import maplespread.config.Config;
import maplespread.config.ConfigReader;
import maplespread.facade.Attempt;
import maplespread.facade.DecisionService;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;
import maplespread.facade.InFlightRequest;
import maplespread.facade.Outcome;
import maplespread.http.HttpConnection;
import maplespread.http.HttpParser;
import maplespread.http.MemoryBudget;
import maplespread.metrics.Metrics;
import maplespread.net.Loopback.Peer;
import maplespread.net.Loopback.Site;
import maplespread.worker.AttemptRunner;
import maplespread.worker.ConnectionPool;
import maplespread.worker.WorkerRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two events cross within one request: its client leaves, its worker drains, or the time for its repeat runs
 * out, while it waits for a thread, a connection or an answer. The sockets are real; the story gives the
 * dispatcher its threads and its way to make connections, and holds them where the other event is to come.
 */
class CrossingsTest {
    private static final String REFUSAL = "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";

    private static final Loopback.Script DONE = call -> {
        call.open();
        call.done("ok");
    };
    /** Started, then the answer ends before its last line: it may have run. */
    private static final Loopback.Script BREAKS = call -> {
        call.open();
        call.state("started", "");
        call.raw("0\r\n\r\n");
    };

    private final ExecutorService threads = Executors.newCachedThreadPool(work -> {
        Thread t = new Thread(work);
        t.setDaemon(true);
        return t;
    });

    private MemoryBudget memory = new MemoryBudget(1 << 23);
    private LongSupplier nanoTime = System::nanoTime;

    @AfterEach
    void end() {
        threads.shutdownNow();
    }

    /** Runs what it is given as the story says. */
    private static final class Starts extends AbstractExecutorService {
        private final Consumer<Runnable> how;

        Starts(Consumer<Runnable> how) {
            this.how = how;
        }

        @Override
        public void execute(Runnable work) {
            how.accept(work);
        }

        @Override
        public void shutdown() {}

        @Override
        public List<Runnable> shutdownNow() {
            return List.of();
        }

        @Override
        public boolean isShutdown() {
            return false;
        }

        @Override
        public boolean isTerminated() {
            return false;
        }

        @Override
        public boolean awaitTermination(long time, TimeUnit unit) {
            return false;
        }
    }

    private void plainly(Runnable work) {
        threads.execute(work);
    }

    private Consumer<Runnable> behind(Gate gate) {
        return work -> threads.execute(() -> {
            gate.pass();
            work.run();
        });
    }

    /** From the accepting to the workers, without discovery. */
    private final class Node implements Closeable {
        final DecisionService dispatcher;
        final ClientListener listener;
        final AttemptRunner branches;
        final ServerSocket door = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final AtomicInteger over = new AtomicInteger(); // transactions
        final Config config;

        Node(Peer... workers) throws Exception {
            this(
                    Loopback.config("127.0.0.1:1", workers),
                    CrossingsTest.this::plainly,
                    CrossingsTest.this::plainly,
                    HttpConnection::dial);
        }

        Node(String file, Consumer<Runnable> legs, Consumer<Runnable> transactions, ConnectionPool.Dialer dialer)
                throws Exception {
            config = ConfigReader.read(file, Map.of());
            Metrics figures = new Metrics();
            dispatcher = new DecisionService(config.settings(), 1, false);
            dispatcher.reportEndpoints(config.cachedEndpoints());
            dispatcher.reportEndpoints(new EndpointUpdate(EndpointUpdate.Kind.DELTA, 1, List.of()));
            ConnectionPool links = new ConnectionPool(() -> config, config::limits, dialer, nanoTime);
            branches = new AttemptRunner(() -> config, links, dispatcher, figures, memory);
            Starts counted = new Starts(work -> transactions.accept(() -> {
                work.run();
                over.incrementAndGet();
            }));
            ServingContext service = new ServingContext(
                    () -> config,
                    dispatcher,
                    branches,
                    counted,
                    config::limits,
                    figures,
                    new ServingContext.ServiceState(() -> true, () -> null, () -> false, () -> Long.MAX_VALUE),
                    new ServingContext.RequestHooks(
                            new RecentRequestIds(() -> config.times().longestDeadlineMs()), memory, null, null));
            listener = new ClientListener(door, service, new Starts(legs), new Starts(legs));
            threads.execute(listener);
        }

        HttpConnection client(String request) throws IOException {
            HttpConnection link = HttpConnection.dial(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), door.getLocalPort()), Loopback.LIMIT_MS);
            link.send(request.getBytes());
            return link;
        }

        void drained(Peer worker) {
            Endpoint r = dispatcher.endpointAddresses().contains(worker.address())
                    ? new Endpoint(
                            "s-" + worker.socket.getLocalPort(),
                            worker.address(),
                            Endpoint.State.DRAINING,
                            1,
                            0,
                            1,
                            0,
                            0)
                    : null;
            dispatcher.reportEndpoints(new EndpointUpdate(EndpointUpdate.Kind.DELTA, 2, List.of(r)));
        }

        @Override
        public void close() throws IOException {
            listener.close();
            until("the listener's end", listener::closed);
        }
    }

    private static int status(HttpConnection link) throws IOException {
        HttpParser parser = HttpParser.responseOrError(1 << 16, (bytes, at, length) -> {});
        link.receive(parser, Loopback.LIMIT_MS);
        return parser.head().status();
    }

    /** The ids of the jobs that have come to the workers. */
    private static List<String> jobs(Peer... workers) {
        List<String> ids = new ArrayList<>();
        for (Peer w : workers) {
            w.calls.forEach(call -> ids.add(call.id()));
        }
        return ids;
    }

    /** The attempts of a job that is held at the gate, whose client is there still, or leaves meanwhile. */
    private static List<String> sent(Node node, Gate gate, String lane, boolean leaves, Peer... workers)
            throws IOException {
        HttpConnection client = node.client(job(lane, "a", 4000));
        gate.reached();
        if (leaves) {
            client.close();
            until("its leaving is seen", () -> node.listener.size() == 0);
        }
        gate.open();
        until("the transaction's end", () -> node.over.get() == 1);
        client.close();
        return jobs(workers);
    }

    /** Its transaction's thread is held from the start; the client is there, or leaves meanwhile. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aClientThatLeavesBeforeTheFirstChoiceIsNotSentOn(boolean leaves) throws Exception {
        Gate gate = new Gate();
        try (Peer worker = new Peer(DONE);
                Node node = new Node(
                        Loopback.config("127.0.0.1:1", worker), this::plainly, behind(gate), HttpConnection::dial)) {
            assertEquals(leaves ? List.of() : List.of("a"), sent(node, gate, "order", leaves, worker));
        }
    }

    /**
     * Request and end came before the leg had a thread. The transaction runs to its end before anything else
     * is read: what is not known by then is known too late.
     */
    @Test
    void aClientThatLeftBeforeItsRequestWasReadIsNotSentOn() throws Exception {
        Gate gate = new Gate();
        try (Peer worker = new Peer(DONE);
                Node node = new Node(
                        Loopback.config("127.0.0.1:1", worker), behind(gate), Runnable::run, HttpConnection::dial)) {
            node.client(job("order", "a", 4000)).close();
            gate.reached();
            until(
                    "the system has both",
                    () -> Loopback.connections(node.door.getLocalPort(), Loopback.CLOSE_WAIT) == 1);
            gate.open();
            until("its end", () -> node.listener.size() == 0);
            assertEquals(List.of(), jobs(worker));
        }
    }

    /** The connection to the worker comes up late; the client is there, or has left by then. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aClientThatLeavesWhileTheConnectionComesUpIsNotSentOn(boolean leaves) throws Exception {
        Gate gate = new Gate();
        try (Peer worker = new Peer(DONE);
                Node node = new Node(
                        Loopback.config("127.0.0.1:1", worker), this::plainly, this::plainly, (to, limitMs) -> {
                            gate.pass();
                            return HttpConnection.dial(to, Loopback.LIMIT_MS);
                        })) {
            assertEquals(leaves ? List.of() : List.of("a"), sent(node, gate, "order", leaves, worker));
        }
    }

    /** Its worker turns it away; the client is there, or has left by then. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aClientThatLeavesBetweenTwoAttemptsIsNotSentOn(boolean leaves) throws Exception {
        Gate gate = new Gate();
        Loopback.Script away = call -> {
            gate.pass();
            call.raw(REFUSAL);
        };
        try (Peer one = new Peer(away);
                Peer other = new Peer(away);
                Node node = new Node(one, other)) {
            assertEquals(leaves, sent(node, gate, "page", leaves, one, other).size() == 1);
        }
    }

    /** Called off while it is written: not all was written, and nothing speaks against the worker. */
    @Test
    void anAttemptCalledOffWhileItIsWrittenWasNeverSent() throws Exception {
        Gate gate = new Gate();
        try (Peer worker = new Peer(DONE);
                Node node = new Node(
                        Loopback.config("127.0.0.1:1", worker), this::plainly, this::plainly, (to, limitMs) -> {
                            Socket held = new Socket() {
                                @Override
                                public OutputStream getOutputStream() throws IOException {
                                    gate.pass();
                                    return super.getOutputStream();
                                }
                            };
                            held.connect(to);
                            return new HttpConnection(held);
                        })) {
            InFlightRequest t = new InFlightRequest(0, 0, node.dispatcher.nowUs() + 60_000_000, 50, 1, 0, null);
            Attempt branch = (Attempt) node.dispatcher.decide(t);
            WorkerRequest message = new WorkerRequest("POST", "/page/x", "a", "page", List.of(), new byte[4]);
            Future<Outcome> outcome = threads.submit(() -> node.branches.run(branch, message).outcome);
            gate.reached();
            node.branches.cancel(branch);
            gate.open();
            assertEquals(Outcome.NEVER_SENT, outcome.get(Loopback.LIMIT_MS, TimeUnit.MILLISECONDS));
            assertEquals(List.of(), jobs(worker));
        }
    }

    /** A worker is told no more time than its job has left when its connection is up. */
    @Test
    void theTimeToldIsWhatIsLeftWhenTheConnectionIsUp() throws Exception {
        Gate gate = new Gate();
        try (Peer worker = new Peer(DONE);
                Node node = new Node(
                        Loopback.config("127.0.0.1:1", worker), this::plainly, this::plainly, (to, limitMs) -> {
                            gate.pass();
                            return HttpConnection.dial(to, Loopback.LIMIT_MS);
                        });
                HttpConnection client = node.client(job("order", "a", 4000))) {
            gate.reached();
            long chosenUs = node.dispatcher.nowUs();
            until("some of its time is over", () -> node.dispatcher.nowUs() > chosenUs + 100_000);
            gate.open();
            assertEquals(200, status(client));
            long told = Long.parseLong(worker.calls.peek().head.get("X-Remaining-Ms"));
            assertTrue(told <= 3900, "told " + told);
        }
    }

    /** A worker goes in the middle of a line: what must not run twice is failed, the rest goes elsewhere. */
    @ParameterizedTest
    @ValueSource(strings = {"order", "page"})
    void halfALineIsAnEndThatMayHaveRun(String lane) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        Loopback.Script script = call -> {
            if (calls.getAndIncrement() > 0) {
                DONE.answer(call);
                return;
            }
            call.open();
            call.raw("20\r\n{\"id\":\"a\",\"state\":\"do");
            call.link.close();
        };
        try (Peer one = new Peer(script);
                Peer other = new Peer(script);
                Node node = new Node(one, other);
                HttpConnection client = node.client(job(lane, "a", 4000))) {
            assertEquals(lane.equals("order") ? 502 : 200, status(client));
            assertEquals(lane.equals("order") ? 1 : 2, jobs(one, other).size());
        }
    }

    /**
     * A second answer follows the first one on a kept connection: what must not run twice goes over new ones
     * then, as a refusal that names no job would prove of it that it never ran.
     */
    @Test
    void afterAStrayAnswerAnOrderGetsAConnectionOfItsOwn() throws Exception {
        try (Peer worker = new Peer(DONE);
                Node node = new Node(worker);
                HttpConnection client = node.client(job("page", "a", 4000))) {
            assertEquals(200, status(client));
            until("its connection is kept", () -> node.over.get() == 1);
            worker.calls.peek().raw(REFUSAL);
            for (String id : new String[] {"b", "c"}) {
                client.send(job("order", id, 4000).getBytes());
                assertEquals(200, status(client));
                int over = id.equals("b") ? 2 : 3;
                until("its connection is kept", () -> node.over.get() == over);
            }
            assertEquals(3, worker.links.size(), "connections");
            assertEquals(List.of("a", "b", "c"), jobs(worker));
        }
    }

    /** Guards against a checkout that runs twice: a late second answer, a refusal, comes ahead of the checkout's own. */
    @Test
    void aLateRefusalOfAnotherJobProvesNothingOfAnOrder() throws Exception {
        nanoTime = () -> 0; // no time passes for the pool, so no connection is ever old enough
        Map<HttpConnection, Boolean> answered = new ConcurrentHashMap<>();
        Loopback.Script answersTwice = call -> {
            if (answered.putIfAbsent(call.link, true) == null) {
                DONE.answer(call);
            } else {
                call.raw(REFUSAL);
            }
        };
        try (Peer one = new Peer(answersTwice);
                Peer other = new Peer(answersTwice);
                Node node = new Node(one, other);
                HttpConnection client = node.client(job("page", "a", 4000))) {
            assertEquals(200, status(client));
            until("its connection is kept", () -> node.over.get() == 1);
            for (int order = 1; order <= 4; order++) {
                client.send(job("order", "b" + order, 4000).getBytes());
                assertEquals(200, status(client));
            }
            List<String> ran = new ArrayList<>(jobs(one));
            ran.addAll(jobs(other));
            assertEquals(
                    List.of("a", "b1", "b2", "b3", "b4"), ran.stream().sorted().toList());
        }
    }

    /** A drain is told between the choice and the first byte: the job goes to the other worker, once. */
    @Test
    void aDrainToldWhileTheConnectionComesUpIsObeyed() throws Exception {
        Gate gate = new Gate();
        AtomicReference<InetSocketAddress> first = new AtomicReference<>();
        try (Peer one = new Peer(DONE);
                Peer other = new Peer(DONE);
                Node node = new Node(
                        Loopback.config("127.0.0.1:1", one, other), this::plainly, this::plainly, (to, limitMs) -> {
                            if (first.compareAndSet(null, to)) {
                                gate.pass();
                            }
                            return HttpConnection.dial(to, Loopback.LIMIT_MS);
                        });
                HttpConnection client = node.client(job("order", "a", 4000))) {
            gate.reached();
            boolean toOne = first.get().getPort() == one.socket.getLocalPort();
            node.drained(toOne ? one : other);
            gate.open();
            assertEquals(200, status(client));
            assertEquals(List.of(), jobs(toOne ? one : other));
            assertEquals(List.of("a"), jobs(toOne ? other : one));
        }
    }

    /**
     * A keyed job may have run, and goes again within the window in which its repeat is dropped; the second
     * connection comes up inside the window, or after it.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRepeatIsNotSentAfterItsWindow(boolean late) throws Exception {
        long windowUs = 2_000_000;
        Gate gate = new Gate();
        AtomicInteger dials = new AtomicInteger();
        String[] file = new String[1];
        try (Peer one = new Peer(BREAKS);
                Peer other = new Peer(BREAKS)) {
            file[0] = Loopback.config(Site.ALLOCATORS, "127.0.0.1:1", one, other)
                    .replace("\"repeatWindowMs\":10000", "\"repeatWindowMs\":" + windowUs / 1000)
                    .replace("\"tryLimit\":4", "\"tryLimit\":2");
            assertNotEquals(Loopback.config(Site.ALLOCATORS, "127.0.0.1:1", one, other), file[0]);
            try (Node node = new Node(file[0], this::plainly, this::plainly, (to, limitMs) -> {
                        if (dials.incrementAndGet() == 2) {
                            gate.pass();
                        }
                        return HttpConnection.dial(to, Loopback.LIMIT_MS);
                    });
                    HttpConnection client = node.client(Loopback.withKey(job("allocate", "a", 4000), "k"))) {
                gate.reached();
                long chosenUs = node.dispatcher.nowUs();
                if (late) {
                    until("the window's end", () -> node.dispatcher.nowUs() > chosenUs + windowUs);
                }
                gate.open();
                assertEquals(502, status(client));
                assertEquals(late ? 1 : 2, jobs(one, other).size());
            }
        }
    }

    /** Guards the others against a worker that stops inside a long result: its attempt gives its memory to theirs. */
    @Test
    void aWorkerThatStopsInsideALongResultGivesItsMemoryWay() throws Exception {
        memory = new MemoryBudget(600 * 1024); // for one long result
        String half = "{\"id\":\"slow\",\"state\":\"done\",\"result\":\"" + "x".repeat(20_000);
        Loopback.Script script = call -> {
            call.open();
            if (call.id().equals("slow")) {
                call.raw("10000\r\n" + half);
            } else {
                call.done("y".repeat(20_000));
            }
        };
        try (Peer worker = new Peer(script);
                Node node = new Node(
                        Loopback.config("127.0.0.1:1", worker),
                        this::plainly,
                        this::plainly,
                        (to, limitMs) -> HttpConnection.dial(to, Loopback.LIMIT_MS));
                HttpConnection slow = node.client(job("order", "slow", 60_000))) {
            until("it holds the memory", () -> memory.reservedBytes() > 500 * 1024);
            try (HttpConnection other = node.client(job("page", "other", 4000))) {
                assertEquals(200, status(other));
            }
            assertEquals(502, status(slow), "it may have run");
        }
        until("all is released", () -> memory.reservedBytes() == 0);
    }
}
