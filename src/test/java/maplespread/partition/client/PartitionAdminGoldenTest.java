package maplespread.partition.client;

import static maplespread.partition.Golden.assertGolden;
import static maplespread.partition.client.Until.until;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import maplespread.admin.AdminRoutes.AdminRequest;
import maplespread.admin.AdminRoutes.AdminResponse;
import maplespread.cluster.SharedState;
import maplespread.config.Config;
import maplespread.config.ConfigReader;
import maplespread.config.PartitionSettings;
import maplespread.consensus.ConsensusSettings;
import maplespread.consensus.client.ReplicatedRegister;
import maplespread.discovery.EndpointListener;
import maplespread.facade.EndpointUpdate;
import maplespread.http.MemoryBudget;
import maplespread.membership.MembershipSettings;
import maplespread.membership.client.ClusterTransport;
import maplespread.partition.SlotAssignment;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;
import maplespread.worker.ConnectionPool;
import maplespread.worker.PeerForwarder;
import org.junit.jupiter.api.Test;

/** The responses of the admin calls must match the recorded ones, with numbers derived from the time as {@code #}. */
class PartitionAdminGoldenTest {
    private static final String TABLE = ("{'rules':[{'when':{'class':'checkout','entity':{'prefix':''}},"
                    + "'order':'by_key_stop','runs_ms':RUNS},{}]}")
            .replace('\'', '"');

    private final StringBuilder recorded = new StringBuilder();
    /** Null until the group is joined. */
    private volatile PartitionService.ClusterHandle handle;

    private PartitionService service;

    private void createService() throws Exception {
        Config config = ConfigReader.read(Files.readString(Path.of("example/config.json")), Map.of());
        PartitionSettings settings = new PartitionSettings(TABLE.replace("RUNS", "1"), "", 300, 20, 250, 5000, 0.01, 2);
        EndpointListener ignoringListener = new EndpointListener() {
            @Override
            public void endpointsChanged(EndpointUpdate update) {}

            @Override
            public void watchLost(EndpointWatchFailure loss, double heardAgoMs) {}

            @Override
            public void listUnconfirmed(EndpointListDoubt why, double heardAgoMs) {}
        };
        service = new PartitionService(
                settings,
                new PartitionService.Dependencies(
                        () -> config,
                        () -> handle,
                        () -> true,
                        () -> "127.0.0.1:7070",
                        new PeerForwarder(new ConnectionPool(() -> config, config::limits), new MemoryBudget(1 << 23)),
                        new PartitionEndpoints(ignoringListener, config.names())));
    }

    private AdminResponse send(String call, String key, String body) {
        return service.adminCalls()
                .get(call)
                .answer(new AdminRequest(key == null ? Map.of() : Map.of("key", key), body));
    }

    private String responseTo(String call, String key, String body) {
        AdminResponse response = send(call, key, body);
        return response.status() + " " + response.text().replaceAll("[0-9]{10,}", "#");
    }

    private void recordResponse(String response) {
        recorded.append(response).append('\n');
    }

    private String stateText(String key) {
        return responseTo("GET /admin/partition", key, "");
    }

    private JsonObject state() {
        return JsonParser.parseString(send("GET /admin/partition", null, "").text())
                .getAsJsonObject();
    }

    private static PartitionService.ClusterHandle join(List<String> electors) throws Exception {
        int port;
        try (DatagramSocket freeSocket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            port = freeSocket.getLocalPort();
        }
        ClusterTransport transport = new ClusterTransport(
                MembershipSettings.of("toy", "127.0.0.1:" + port, List.of()),
                new LinkedHashMap<>(Map.of(1, new byte[32])),
                1);
        return new PartitionService.ClusterHandle(
                transport, new ReplicatedRegister(ConsensusSettings.of("toy", electors), transport, 1));
    }

    private void close() throws Exception {
        service.close();
        if (handle != null) {
            handle.register().close();
            handle.transport().close();
        }
    }

    @Test
    void responsesBeforeAnyAssignmentIsDecided() throws Exception {
        createService();
        try {
            recordResponse(stateText(null));
            recordResponse(responseTo("POST /admin/partition/table", null, TABLE));
            recordResponse(responseTo("POST /admin/partition/start", null, ""));
            handle = join(List.of("toy", "absent", "lost"));
            service.start();
            until("the member has joined", () -> state().get("joined").getAsBoolean());
            recordResponse(stateText("entity=1"));
            recordResponse(responseTo("POST /admin/partition/table", null, TABLE));
        } finally {
            close();
        }
        assertGolden("admin-before-agreement.txt", recorded.toString());
    }

    @Test
    void responsesOnceATableIsDecided() throws Exception {
        createService();
        try {
            handle = join(List.of("toy"));
            service.start();
            until("the member has a lease and all slots", () -> {
                JsonObject state = state();
                return state.has("open")
                        && state.getAsJsonArray("open").size() == 2
                        && state.get("lease").getAsBoolean()
                        && state.get("may_change").getAsBoolean();
            });
            handle.register()
                    .change(
                            value -> {
                                SlotAssignment assignment =
                                        SlotAssignment.fromJson(SharedState.read(value.text(), "partition"));
                                String member = assignment.members().iterator().next();
                                return SharedState.write(
                                        value.text(),
                                        "partition",
                                        assignment.stopKey(member, "entity=1").toJson());
                            },
                            5000);
            until("the stop is known", () -> !state().getAsJsonArray("stopped").isEmpty());
            AtomicReference<String> stateWithLease = new AtomicReference<>();
            until("the member has a lease", () -> {
                stateWithLease.set(stateText("entity=1"));
                return stateWithLease.get().contains("\"lease\": true");
            });
            recordResponse(stateWithLease.get());
            recordResponse(responseTo("POST /admin/partition/start", null, ""));
            recordResponse(responseTo("POST /admin/partition/start", "entity=1", ""));
            recordResponse(responseTo("POST /admin/partition/start", "entity=1", ""));
            recordResponse(responseTo("POST /admin/partition/table", null, "{}"));
            String nextTable = TABLE.replace("RUNS", "3600000"); // takes longer to settle than this test runs
            recordResponse(responseTo("POST /admin/partition/table", null, nextTable));
            recordResponse(responseTo("POST /admin/partition/table", null, nextTable));
            recordResponse(responseTo("POST /admin/partition/table", null, TABLE.replace("RUNS", "2")));
        } finally {
            close();
        }
        assertGolden("admin.txt", recorded.toString());
    }
}
