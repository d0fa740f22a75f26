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
import maplespread.http.MemoryBudget;
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

/** Responses to clients and requests forwarded to a key's owner must match the recorded ones, byte by byte. */
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

    /** Another member's listener; records each request and sends the next response, or disconnects if it is empty. */
    private static final class Peer implements Closeable {
        final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
        final BlockingQueue<String> responses = new LinkedBlockingQueue<>();
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
                    requests.add(readRequest(socket.getInputStream()));
                    String response = responses.take();
                    if (response.isEmpty()) {
                        return;
                    }
                    socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
                }
            }
        }

        private static String readRequest(InputStream in) throws IOException {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (!all.toString(StandardCharsets.UTF_8).endsWith("\r\n\r\n")) {
                int next = in.read();
                if (next < 0) {
                    throw new IOException("connection closed before the end of the request head");
                }
                all.write(next);
            }
            all.write(in.readNBytes(4)); // each request body in this test has four bytes
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
            } catch (Exception e) { // the test or the connection has ended
                return;
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private final StringBuilder recorded = new StringBuilder();
    private PartitionEndpoints endpoints;
    private OrderingState state;
    private OrderedDispatch dispatch;
    private RoutingTable table;
    private int keyCount;
    /** Address of the slots' owner; null if it is not known. */
    private volatile String ownerAddress;

    private volatile boolean stopIsStored = true;

    @BeforeEach
    void createDispatch() throws Exception {
        Config config = ConfigReader.read(Files.readString(Path.of("example/config.json")), Map.of());
        endpoints = new PartitionEndpoints(
                new EndpointListener() {
                    @Override
                    public void endpointsChanged(EndpointUpdate update) {}

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
                return ownerAddress;
            }

            @Override
            public boolean storeStop(String key, long waitMs) {
                return stopIsStored;
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
                new PeerForwarder(new ConnectionPool(() -> config, config::limits), new MemoryBudget(1 << 23)),
                operations);
    }

    /** Joins the group, learns the assignment and obtains a lease. */
    private void joinWithLease(SlotAssignment assignment) {
        state.join("n0#1", 2);
        dispatch.learn(assignment, table, table);
        state.recordGrant("e", state.startRenewal().orElseThrow().number(), electors -> true);
    }

    private void addServingWorker() {
        endpoints.endpointsChanged(new EndpointUpdate(
                EndpointUpdate.Kind.FULL_SNAPSHOT,
                1,
                List.of(new Endpoint("w", "127.0.0.1:1", Endpoint.State.SERVING, 1, 0, 0, 0, 0))));
    }

    private RequestSequencer.SequencingResult acquire(
            String requestClass, String entity, String forwardedBy, double workMs, long remainingMs) {
        WorkerRequest message = new WorkerRequest(
                "POST", "/x?y=1", "t1", requestClass, List.of(), "body".getBytes(StandardCharsets.UTF_8));
        try {
            return dispatch.acquire(new RequestSequencer.SequencedRequest(
                    message,
                    new InFlightRequest(0, 0, Long.MAX_VALUE, workMs, 1, 1, null),
                    "acme",
                    entity,
                    Map.of(),
                    List.of(new String[] {"X-Lane", requestClass}, new String[] {"X-Org", "acme"}),
                    forwardedBy,
                    remainingMs));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private RequestSequencer.Permit acquirePermit(String requestClass, String entity) {
        return assertInstanceOf(RequestSequencer.Permit.class, acquire(requestClass, entity, null, 0, LONG_MS));
    }

    private String acquireAsText(
            String requestClass, String entity, String forwardedBy, double workMs, long remainingMs) {
        return text(acquire(requestClass, entity, forwardedBy, workMs, remainingMs));
    }

    /** Sequences a request and records the result. */
    private void note(String requestClass, String entity, String forwardedBy, double workMs, long remainingMs) {
        note(requestClass + " " + entity + ", by " + forwardedBy + ", " + workMs + " of " + remainingMs + " ms: "
                + acquireAsText(requestClass, entity, forwardedBy, workMs, remainingMs));
    }

    private void note(String line) {
        recorded.append(line).append('\n');
    }

    private static String text(RequestSequencer.SequencingResult result) {
        if (result instanceof RequestSequencer.FinalResponse response) {
            return response.status()
                    + response.fields().stream()
                            .map(f -> " " + f[0] + ": " + f[1])
                            .collect(Collectors.joining())
                    + (response.idConsumed() ? " taken " : " not taken ")
                    + new String(response.body(), StandardCharsets.UTF_8).replace("\n", "\\n");
        }
        return result instanceof RequestSequencer.Permit ? "go" : "left";
    }

    @Test
    void responsesBeforeAnyAssignmentIsDecided() throws Exception {
        note("price", "1", null, 0, 0);
        note("price", "1", null, 50, 40);
        note("price", "1", "n1 3", 0, 1000);
        note("price", null, null, 0, 1000);
        note("page", null, null, 0, 1000);
        note("page", null, "n1 3", 0, 1000);
        assertGolden("answers-before-agreement.txt", recorded.toString());
    }

    @Test
    void responsesForKeysThatThisMemberOwns() throws Exception {
        joinWithLease(OWN);
        note("price", "1", null, 0, 1000);
        addServingWorker();
        note("price", "1", null, 0, 1000);
        note("price", "2", null, 50, 40);
        note("full", "1", null, 5, LONG_MS);
        note("price", "3", "n1 99", 0, 1000);
        note("price", "3", "n1 1", 0, 1000);
        note("turn lost: " + text(acquirePermit("price", "4").permitLostResponse()));
        RequestSequencer.SequencingResult forwarded = acquire("price", "5", "n1 1", 0, LONG_MS);
        note("turn lost: "
                + text(assertInstanceOf(RequestSequencer.Permit.class, forwarded)
                        .permitLostResponse()));
        assertGolden("answers-of-the-owner.txt", recorded.toString());
    }

    @Test
    void requestsQueuedBehindAnotherAreSkippedOrExpire() throws Exception {
        joinWithLease(OWN);
        addServingWorker();
        daemon(state.lines()::runDueLoop);
        for (String requestClass : List.of("skip", "aged")) {
            RequestSequencer.Permit head = acquirePermit(requestClass, "1");
            CompletableFuture<String> behind = new CompletableFuture<>();
            daemon(() -> behind.complete(acquireAsText(requestClass, "1", null, 0, LONG_MS)));
            if (requestClass.equals("skip")) {
                until("the request is queued", () -> state.lines().waitingCount() == 1);
                head.attemptCompleted(Outcome.ERROR);
                assertEquals(RequestSequencer.Completion.ENDED, head.release(false));
            }
            note(requestClass + ": " + behind.get(60, TimeUnit.SECONDS));
        }
        assertGolden("answers-behind-a-head.txt", recorded.toString());
    }

    @Test
    void failureStopsItsKeyOnlyIfTheStopIsStored() throws Exception {
        joinWithLease(OWN);
        addServingWorker();
        for (boolean stored : new boolean[] {true, false}) {
            stopIsStored = stored;
            RequestSequencer.Permit head = acquirePermit("stop", "of " + stored);
            head.attemptCompleted(Outcome.ERROR);
            assertEquals(
                    stored ? RequestSequencer.Completion.ENDED : RequestSequencer.Completion.IN_DOUBT,
                    head.release(false));
        }
        note("stop", "of true", null, 0, 1000);
        note("stop", "of false", null, 0, 1000);
        dispatch.learn(OWN.stopKey("n0#1", "entity=7"), table, table);
        note("price", "7", null, 0, 1000);
        assertGolden("answers-of-stopped-keys.txt", recorded.toString());
    }

    private void noteCompletion(boolean served, Outcome... outcomes) {
        RequestSequencer.Permit permit = acquirePermit("price", "k" + ++keyCount);
        List.of(outcomes).forEach(permit::attemptCompleted);
        RequestSequencer.Completion completion = permit.release(served);
        note("k" + keyCount + (served ? " served: " : " not served: ")
                + (completion == RequestSequencer.Completion.ENDED
                        ? "ended"
                        : completion == RequestSequencer.Completion.IN_DOUBT ? "in doubt" : "never ran"));
    }

    /** Records the completion for combinations of attempt outcomes, for requests that were served or not. */
    @Test
    void completionFollowsFromTheOutcomesOfAttempts() throws Exception {
        joinWithLease(OWN);
        addServingWorker();
        noteCompletion(false);
        for (Outcome outcome : Outcome.values()) {
            noteCompletion(false, outcome);
        }
        noteCompletion(false, Outcome.TIMED_OUT, Outcome.ERROR);
        noteCompletion(true, Outcome.SERVED);
        noteCompletion(true, Outcome.TIMED_OUT, Outcome.SERVED);
        assertGolden("ends.txt", recorded.toString());
    }

    @Test
    void requestsForAnotherMembersKeysAreForwarded() throws Exception {
        joinWithLease(SlotAssignment.initial(2, "t").members(Set.of("n1#5")));
        note("price", "1", null, 0, 0);
        note("price", "1", "n2 1", 0, 1000);
        try (Peer owner = new Peer()) {
            ownerAddress = owner.address();
            owner.responses.add("HTTP/1.1 200 OK\r\nX-Order: late\r\nX-Other: 1\r\nRetry-After: 0.5\r\nAllow: POST\r\n"
                    + "Content-Length: 3\r\n\r\nabc");
            note("price", "1", null, 0, LONG_MS);
            note(nextForwarded(owner));
            owner.responses.add("HTTP/1.1 503 Service Unavailable\r\nX-Order: moved\r\nContent-Length: 0\r\n\r\n");
            owner.responses.add("HTTP/1.1 503 Service Unavailable\r\nX-Order: full\r\nContent-Length: 5\r\n\r\nfull\n");
            note("price", "1", null, 0, LONG_MS);
            assertEquals(nextForwarded(owner), nextForwarded(owner));
            owner.responses.add("");
            note("price", "1", null, 0, LONG_MS);
        }
        assertGolden("answers-handed-on.txt", recorded.toString());
    }

    private static String nextForwarded(Peer owner) throws InterruptedException {
        return owner.requests
                .poll(60, TimeUnit.SECONDS)
                .replace(owner.address(), "HOST")
                .replaceAll("Remaining-Ms: [0-9]+", "Remaining-Ms: N")
                .replace("\r\n", "\\r\\n");
    }
}
