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
import maplespread.membership.MembershipSettings;
import maplespread.membership.client.ClusterTransport;
import maplespread.partition.SlotAssignment;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;
import maplespread.worker.ConnectionPool;
import maplespread.worker.PeerForwarder;
import org.junit.jupiter.api.Test;

/** The console's answers, as recorded; numbers that begin with the time stand as {@code #}. */
class PartitionAdminGoldenTest {
    private static final String TABLE = ("{'rules':[{'when':{'class':'checkout','entity':{'prefix':''}},"
                    + "'order':'by_key_stop','runs_ms':RUNS},{}]}")
            .replace('\'', '"');

    private final StringBuilder seen = new StringBuilder();
    private volatile PartitionService.ClusterHandle handle;
    private PartitionService service;

    private void begin() throws Exception {
        Config config = ConfigReader.read(Files.readString(Path.of("example/config.json")), Map.of());
        PartitionSettings settings = new PartitionSettings(TABLE.replace("RUNS", "1"), "", 300, 20, 250, 5000, 0.01, 2);
        EndpointListener nobody = new EndpointListener() {
            @Override
            public void endpointsChanged(EndpointUpdate news) {}

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
                        new PeerForwarder(new ConnectionPool(() -> config, config::limits)),
                        new PartitionEndpoints(nobody, config.names())));
    }

    private AdminResponse reply(String call, String key, String body) {
        return service.adminCalls()
                .get(call)
                .answer(new AdminRequest(key == null ? Map.of() : Map.of("key", key), body));
    }

    private String call(String call, String key, String body) {
        AdminResponse reply = reply(call, key, body);
        return reply.status() + " " + reply.text().replaceAll("[0-9]{10,}", "#");
    }

    private void note(String answer) {
        seen.append(answer).append('\n');
    }

    private String shown(String key) {
        return call("GET /admin/partition", key, "");
    }

    private JsonObject now() {
        return JsonParser.parseString(reply("GET /admin/partition", null, "").text())
                .getAsJsonObject();
    }

    private static PartitionService.ClusterHandle join(List<String> electors) throws Exception {
        int port;
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        ClusterTransport transport = new ClusterTransport(
                MembershipSettings.of("toy", "127.0.0.1:" + port, List.of()),
                new LinkedHashMap<>(Map.of(1, new byte[32])),
                1);
        return new PartitionService.ClusterHandle(
                transport, new ReplicatedRegister(ConsensusSettings.of("toy", electors), transport, 1));
    }

    private void end() throws Exception {
        service.close();
        if (handle != null) {
            handle.register().close();
            handle.transport().close();
        }
    }

    @Test
    void whileNothingIsAgreedOn() throws Exception {
        begin();
        try {
            note(shown(null));
            note(call("POST /admin/partition/table", null, TABLE));
            note(call("POST /admin/partition/start", null, ""));
            handle = join(List.of("toy", "absent", "lost"));
            service.start();
            until("it has joined", () -> now().get("joined").getAsBoolean());
            note(shown("entity=1"));
            note(call("POST /admin/partition/table", null, TABLE));
        } finally {
            end();
        }
        assertGolden("admin-before-agreement.txt", seen.toString());
    }

    @Test
    void whileATableIsAgreedOn() throws Exception {
        begin();
        try {
            handle = join(List.of("toy"));
            service.start();
            until("it has a lease and all slots", () -> {
                JsonObject now = now();
                return now.has("open")
                        && now.getAsJsonArray("open").size() == 2
                        && now.get("lease").getAsBoolean()
                        && now.get("may_change").getAsBoolean();
            });
            handle.register()
                    .change(
                            value -> {
                                SlotAssignment owners =
                                        SlotAssignment.fromJson(SharedState.read(value.text(), "partition"));
                                String member = owners.members().iterator().next();
                                return SharedState.write(
                                        value.text(),
                                        "partition",
                                        owners.stopKey(member, "entity=1").toJson());
                            },
                            5000);
            until("the stop is known", () -> !now().getAsJsonArray("stopped").isEmpty());
            AtomicReference<String> shown = new AtomicReference<>();
            until("it has a lease", () -> {
                shown.set(shown("entity=1"));
                return shown.get().contains("\"lease\": true");
            });
            note(shown.get());
            note(call("POST /admin/partition/start", null, ""));
            note(call("POST /admin/partition/start", "entity=1", ""));
            note(call("POST /admin/partition/start", "entity=1", ""));
            note(call("POST /admin/partition/table", null, "{}"));
            String next = TABLE.replace("RUNS", "3600000"); // it settles for longer than this test runs
            note(call("POST /admin/partition/table", null, next));
            note(call("POST /admin/partition/table", null, next));
            note(call("POST /admin/partition/table", null, TABLE.replace("RUNS", "2")));
        } finally {
            end();
        }
        assertGolden("admin.txt", seen.toString());
    }
}
