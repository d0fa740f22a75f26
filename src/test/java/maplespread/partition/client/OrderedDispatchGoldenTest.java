package maplespread.partition.client;

import static maplespread.partition.Golden.assertGolden;
import static maplespread.partition.client.Until.until;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import maplespread.caller.RequestSequencer;
import maplespread.config.Config;
import maplespread.config.ConfigReader;
import maplespread.discovery.EndpointListener;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;
import maplespread.facade.InFlightRequest;
import maplespread.facade.Outcome;
import maplespread.partition.LeaseSettings;
import maplespread.partition.RoutingTable;
import maplespread.partition.RoutingTableParser;
import maplespread.partition.SlotAssignment;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;
import maplespread.worker.ConnectionPool;
import maplespread.worker.PeerForwarder;
import maplespread.worker.WorkerRequest;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What clients are answered with by this package, and what goes to a key's owner, byte by byte. */
class OrderedDispatchGoldenTest {
    private static final String TABLE = ("{'rules':["
                    + "{'when':{'class':'stop'},'order':'by_key_stop','runs_ms':1},"
                    + "{'when':{'class':'skip'},'order':'by_key','failed':'skip','runs_ms':1},"
                    + "{'when':{'class':'full'},'order':'by_key','each_key':{'work_s':0.001}},"
                    + "{'when':{'class':'aged'},'order':'by_key','each_key':{'age_ms':1}},"
                    + "{'when':{'class':'price'},'order':'by_key'},{}]}")
            .replace('\'', '"');
    private static final SlotAssignment OWN = SlotAssignment.initial(2, "t").members(Set.of("n0#1"));
    private static final long LONG_MS = 600_000;

    /** Another member's listener: notes what comes, and answers by the script; empty: it breaks off. */
    private static final class Peer implements Closeable {
        final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
        final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
        private final ServerSocket listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());

        Peer() throws IOException {
            daemon(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    daemon(() -> serve(socket));
                }
            });
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                while (true) {
                    requests.add(request(socket.getInputStream()));
                    String answer = answers.take();
                    if (answer.isEmpty()) {
                        return;
                    }
                    socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                }
            }
        }

        private static String request(InputStream in) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (!all.toString(StandardCharsets.UTF_8).endsWith("\r\n\r\n")) {
                int next = in.read();
                if (next < 0) {
                    throw new IOException("over");
                }
                all.write(next);
            }
            all.write(in.readNBytes(4)); // each body here has four bytes
            return all.toString(StandardCharsets.UTF_8);
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    private interface Work {
        void run() throws Exception;
    }

    private static void daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception over) { // with the test, or the connection
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private final StringBuilder seen = new StringBuilder();
    private PartitionEndpoints endpoints;
    private OrderingState state;
    private OrderedDispatch dispatch;
    private RoutingTable table;
    private int keys;
    private volatile String peer;
    private volatile boolean stores = true;

    @BeforeEach
    void begin() throws Exception {
        Config config = ConfigReader.read(Files.readString(Path.of("example/config.json")), Map.of());
        endpoints = new PartitionEndpoints(
                new EndpointListener() {
                    @Override
                    public void endpointsChanged(EndpointUpdate news) {}

                    @Override
                    public void watchLost(EndpointWatchFailure loss, double heardAgoMs) {}

                    @Override
                    public void listUnconfirmed(EndpointListDoubt why, double heardAgoMs) {}
                },
                config.names());
        table = RoutingTableParser.parse(
                TABLE,
                new RoutingTableParser.SiteNames(
                        List.of("stop", "skip", "full", "aged", "price", "page"),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of()));
        ClusterOperations operations = new ClusterOperations() {
            @Override
            public String address(String member) {
                return peer;
            }

            @Override
            public boolean storeStop(String key, long waitMs) {
                return stores;
            }

            @Override
            public double maxRetryAfterMs() {
                return 2000;
            }
        };
        state = new OrderingState(new LeaseSettings(1, LONG_MS, 0), table, endpoints, operations);
        dispatch = new OrderedDispatch(
                "n0",
                state,
                endpoints,
                new PeerForwarder(new ConnectionPool(() -> config, config::limits)),
                operations);
    }

    /** This one owns all slots by this value's word, and has a lease. */
    private void owns(SlotAssignment assignment) {
        state.join("n0#1", 2);
        dispatch.learn(assignment, table, table);
        state.recordGrant("e", state.startRenewal().orElseThrow().number(), electors -> true);
    }

    private void worker() {
        endpoints.endpointsChanged(new EndpointUpdate(
                EndpointUpdate.Kind.FULL_SNAPSHOT,
                1,
                List.of(new Endpoint("w", "127.0.0.1:1", Endpoint.State.SERVING, 1, 0, 0, 0, 0))));
    }

    private RequestSequencer.SequencingResult take(
            String cls, String entity, String handedBy, double workMs, long leftMs) {
        WorkerRequest message =
                new WorkerRequest("POST", "/x?y=1", "t1", cls, List.of(), "body".getBytes(StandardCharsets.UTF_8));
        try {
            return dispatch.acquire(new RequestSequencer.SequencedRequest(
                    message,
                    new InFlightRequest(0, 0, Long.MAX_VALUE, workMs, 1, 1, null),
                    "acme",
                    entity,
                    Map.of(),
                    List.of(new String[] {"X-Lane", cls}, new String[] {"X-Org", "acme"}),
                    handedBy,
                    leftMs));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private RequestSequencer.Permit go(String cls, String entity) {
        return assertInstanceOf(RequestSequencer.Permit.class, take(cls, entity, null, 0, LONG_MS));
    }

    private String taken(String cls, String entity, String handedBy, double workMs, long leftMs) {
        return text(take(cls, entity, handedBy, workMs, leftMs));
    }

    /** Takes a job, and notes what became of it. */
    private void note(String cls, String entity, String handedBy, double workMs, long leftMs) {
        note(cls + " " + entity + ", by " + handedBy + ", " + workMs + " of " + leftMs + " ms: "
                + taken(cls, entity, handedBy, workMs, leftMs));
    }

    private void note(String line) {
        seen.append(line).append('\n');
    }

    private static String text(RequestSequencer.SequencingResult turn) {
        if (turn instanceof RequestSequencer.FinalResponse said) {
            return said.status()
                    + said.fields().stream().map(f -> " " + f[0] + ": " + f[1]).collect(Collectors.joining())
                    + (said.idConsumed() ? " taken " : " not taken ")
                    + new String(said.body(), StandardCharsets.UTF_8).replace("\n", "\\n");
        }
        return turn instanceof RequestSequencer.Permit ? "go" : "left";
    }

    @Test
    void beforeAnyValueIsAgreedOn() throws Exception {
        note("price", "1", null, 0, 0);
        note("price", "1", null, 50, 40);
        note("price", "1", "n1 3", 0, 1000);
        note("price", null, null, 0, 1000);
        note("page", null, null, 0, 1000);
        note("page", null, "n1 3", 0, 1000);
        assertGolden("answers-before-agreement.txt", seen.toString());
    }

    @Test
    void ofAKeyThatThisMemberOwns() throws Exception {
        owns(OWN);
        note("price", "1", null, 0, 1000);
        worker();
        note("price", "1", null, 0, 1000);
        note("price", "2", null, 50, 40);
        note("full", "1", null, 5, LONG_MS);
        note("price", "3", "n1 99", 0, 1000);
        note("price", "3", "n1 1", 0, 1000);
        note("turn lost: " + text(go("price", "4").permitLostResponse()));
        RequestSequencer.SequencingResult handed = take("price", "5", "n1 1", 0, LONG_MS);
        note("turn lost: "
                + text(assertInstanceOf(RequestSequencer.Permit.class, handed).permitLostResponse()));
        assertGolden("answers-of-the-owner.txt", seen.toString());
    }

    @Test
    void whatWaitsBehindAHead() throws Exception {
        owns(OWN);
        worker();
        daemon(state.lines()::runDueLoop);
        for (String cls : List.of("skip", "aged")) {
            RequestSequencer.Permit head = go(cls, "1");
            CompletableFuture<String> behind = new CompletableFuture<>();
            daemon(() -> behind.complete(taken(cls, "1", null, 0, LONG_MS)));
            if (cls.equals("skip")) {
                until("it waits", () -> state.lines().waitingCount() == 1);
                head.attemptCompleted(Outcome.ERROR);
                assertEquals(RequestSequencer.Completion.ENDED, head.release(false));
            }
            note(cls + ": " + behind.get(60, TimeUnit.SECONDS));
        }
        assertGolden("answers-behind-a-head.txt", seen.toString());
    }

    @Test
    void aFailureStopsItsKeyOnlyWhereThatIsStored() throws Exception {
        owns(OWN);
        worker();
        for (boolean stored : new boolean[] {true, false}) {
            stores = stored;
            RequestSequencer.Permit head = go("stop", "of " + stored);
            head.attemptCompleted(Outcome.ERROR);
            assertEquals(
                    stored ? RequestSequencer.Completion.ENDED : RequestSequencer.Completion.IN_DOUBT,
                    head.release(false));
        }
        note("stop", "of true", null, 0, 1000);
        note("stop", "of false", null, 0, 1000);
        dispatch.learn(OWN.stopKey("n0#1", "entity=7"), table, table);
        note("price", "7", null, 0, 1000);
        assertGolden("answers-of-stopped-keys.txt", seen.toString());
    }

    private void ended(boolean served, Outcome... attempts) {
        RequestSequencer.Permit job = go("price", "k" + ++keys);
        List.of(attempts).forEach(job::attemptCompleted);
        RequestSequencer.Completion end = job.release(served);
        note("k" + keys + (served ? " served: " : " not served: ")
                + (end == RequestSequencer.Completion.ENDED
                        ? "ended"
                        : end == RequestSequencer.Completion.IN_DOUBT ? "in doubt" : "never ran"));
    }

    /** Outcomes of a job's attempts, whether it was served, and how it has ended. */
    @Test
    void howAJobHasEnded() throws Exception {
        owns(OWN);
        worker();
        ended(false);
        for (Outcome how : Outcome.values()) {
            ended(false, how);
        }
        ended(false, Outcome.TIMED_OUT, Outcome.ERROR);
        ended(true, Outcome.SERVED);
        ended(true, Outcome.TIMED_OUT, Outcome.SERVED);
        assertGolden("ends.txt", seen.toString());
    }

    @Test
    void ofAKeyThatAnotherMemberOwns() throws Exception {
        owns(SlotAssignment.initial(2, "t").members(Set.of("n1#5")));
        note("price", "1", null, 0, 0);
        note("price", "1", "n2 1", 0, 1000);
        try (Peer owner = new Peer()) {
            peer = owner.address();
            owner.answers.add("HTTP/1.1 200 OK\r\nX-Order: late\r\nX-Other: 1\r\nRetry-After: 0.5\r\nAllow: POST\r\n"
                    + "Content-Length: 3\r\n\r\nabc");
            note("price", "1", null, 0, LONG_MS);
            note(sent(owner));
            owner.answers.add("HTTP/1.1 503 Service Unavailable\r\nX-Order: moved\r\nContent-Length: 0\r\n\r\n");
            owner.answers.add("HTTP/1.1 503 Service Unavailable\r\nX-Order: full\r\nContent-Length: 5\r\n\r\nfull\n");
            note("price", "1", null, 0, LONG_MS);
            assertEquals(sent(owner), sent(owner));
            owner.answers.add("");
            note("price", "1", null, 0, LONG_MS);
        }
        assertGolden("answers-handed-on.txt", seen.toString());
    }

    private static String sent(Peer owner) throws InterruptedException {
        return owner.requests
                .poll(60, TimeUnit.SECONDS)
                .replace(owner.address(), "HOST")
                .replaceAll("Remaining-Ms: [0-9]+", "Remaining-Ms: N")
                .replace("\r\n", "\\r\\n");
    }
}
