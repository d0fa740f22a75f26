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
import maplespread.agreement.AgreementSettings;
import maplespread.agreement.client.Register;
import maplespread.config.Config;
import maplespread.config.ConfigReader;
import maplespread.config.PartitionSettings;
import maplespread.console.Calls.Ask;
import maplespread.console.Calls.Reply;
import maplespread.decision.Dispatch;
import maplespread.facade.EndpointUpdate;
import maplespread.group.Sections;
import maplespread.membership.MembershipSettings;
import maplespread.membership.client.Group;
import maplespread.partition.Owners;
import maplespread.routes.RouteSink;
import maplespread.worker.Links;
import maplespread.worker.Relay;
import org.junit.jupiter.api.Test;

/** The console's answers, as recorded; numbers that begin with the time stand as {@code #}. */
class AdminGoldenTest {
    private static final String TABLE = ("{'rules':[{'when':{'class':'checkout','entity':{'prefix':''}},"
                    + "'order':'by_key_stop','runs_ms':RUNS},{}]}")
            .replace('\'', '"');

    private final StringBuilder seen = new StringBuilder();
    private volatile Keeper.Ties ties;
    private Keeper keeper;

    private void begin() throws Exception {
        Config config = ConfigReader.read(Files.readString(Path.of("example/config.json")), Map.of());
        PartitionSettings set = new PartitionSettings(TABLE.replace("RUNS", "1"), "", 300, 20, 250, 5000, 0.01, 2);
        RouteSink nobody = new RouteSink() {
            @Override
            public void news(EndpointUpdate news) {}

            @Override
            public void watchLost(Dispatch.ListLoss loss, double heardAgoMs) {}

            @Override
            public void unconfirmed(Dispatch.ListDoubt why, double heardAgoMs) {}
        };
        keeper = new Keeper(
                set,
                new Keeper.Ground(
                        () -> config,
                        () -> ties,
                        () -> true,
                        () -> "127.0.0.1:7070",
                        new Relay(new Links(() -> config, config::sizes)),
                        new Fleet(nobody, config.names())));
    }

    private Reply reply(String call, String key, String body) {
        return keeper.calls().get(call).answer(new Ask(key == null ? Map.of() : Map.of("key", key), body));
    }

    private String call(String call, String key, String body) {
        Reply reply = reply(call, key, body);
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

    private static Keeper.Ties join(List<String> electors) throws Exception {
        int port;
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        Group group = new Group(
                MembershipSettings.of("toy", "127.0.0.1:" + port, List.of()),
                new LinkedHashMap<>(Map.of(1, new byte[32])),
                1);
        return new Keeper.Ties(group, new Register(AgreementSettings.of("toy", electors), group, 1));
    }

    private void end() throws Exception {
        keeper.close();
        if (ties != null) {
            ties.register().close();
            ties.group().close();
        }
    }

    @Test
    void whileNothingIsAgreedOn() throws Exception {
        begin();
        try {
            note(shown(null));
            note(call("POST /admin/partition/table", null, TABLE));
            note(call("POST /admin/partition/start", null, ""));
            ties = join(List.of("toy", "absent", "lost"));
            keeper.start();
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
            ties = join(List.of("toy"));
            keeper.start();
            until("it has a lease and all slots", () -> {
                JsonObject now = now();
                return now.has("open")
                        && now.getAsJsonArray("open").size() == 2
                        && now.get("lease").getAsBoolean()
                        && now.get("may_change").getAsBoolean();
            });
            ties.register()
                    .change(
                            value -> {
                                Owners owners = Owners.read(Sections.read(value.text(), "partition"));
                                String member = owners.members().iterator().next();
                                return Sections.write(
                                        value.text(),
                                        "partition",
                                        owners.stop(member, "entity=1").text());
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
