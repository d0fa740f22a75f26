package maplespread.release.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import maplespread.agreement.AgreementSettings;
import maplespread.agreement.Change;
import maplespread.agreement.Result;
import maplespread.agreement.client.Register;
import maplespread.config.Config;
import maplespread.config.ConfigReader;
import maplespread.decision.Dispatch;
import maplespread.facade.EndpointUpdate;
import maplespread.facade.Route;
import maplespread.group.Sections;
import maplespread.group.Status;
import maplespread.group.Statuses;
import maplespread.membership.MembershipSettings;
import maplespread.membership.Update;
import maplespread.membership.client.Group;
import maplespread.release.Limits;
import maplespread.release.Order;
import maplespread.release.State;
import maplespread.release.View;
import maplespread.routes.RouteSink;
import org.junit.jupiter.api.Test;

class ReleasesTest {
    private volatile boolean out;

    /** By a register of one elector: what is carried out of drains that come late, twice, or for another. */
    @Test
    void aDrainIsCarriedOutOnlyWhileItsLeaveStands() throws Exception {
        String address;
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            address = "127.0.0.1:" + free.getLocalPort();
        }
        try (Group group = new Group(
                        MembershipSettings.of("n0", address, List.of()),
                        new LinkedHashMap<>(Map.of(1, new byte[16])),
                        1);
                Register register = new Register(AgreementSettings.of("n0", List.of("n0")), group, 1);
                Releases releases = new Releases("n0", fleet(register), new Workers(null), Limits.DEFAULT)) {
            decided(register, Change.READ);
            // Leaves agreed: member, number, run, for what; halted; the order: drain or recall, its run and
            // leave; whether it is out after that. The release is on its way to the new version.
            String table = """
                -              -      drain  7 1 false
                n0:1:7:        -      drain  6 1 false
                n0:2:7:        -      drain  7 1 false
                n0:2:6:        -      drain  7 2 false
                n1:2:7:        -      drain  7 2 false
                n0:2:7:        -      drain  7 2 true
                -              -      recall 6 2 true
                -              -      recall 7 2 false
                n0:2:7:        -      drain  7 2 false
                n0:3:7:RUNNING halted drain  7 3 false
                n0:3:7:ROLLING_BACK - drain  7 3 false
                n0:3:7:RUNNING -      drain  7 3 true
                -              -      recall 7 3 false
                n0:4:7:        halted drain  7 4 true
                """;
            for (String line : table.lines().toList()) {
                String[] row = line.trim().split(" +");
                String text = state(row[0], row[1].equals("halted"));
                decided(register, v -> Sections.write(v.text(), "release", text));
                int run = Integer.parseInt(row[3]);
                int leave = Integer.parseInt(row[4]);
                releases.ofThisOne(
                        register,
                        row[2].equals("drain")
                                ? new Order.Drain("n0", run, leave)
                                : new Order.Recall("n0", run, leave));
                assertEquals(Boolean.parseBoolean(row[5]), out, line);
            }
        }
    }

    private static void decided(Register register, Change change) {
        while (register.change(change, 1000).kind() != Result.Kind.DECIDED) {
            Thread.yield(); // its time was over: it is asked again
        }
    }

    private static String state(String leave, boolean halted) {
        String[] of = leave.split(":", -1);
        return State.read(("{'release':{'plan':{'id':'r','from':'','to':'','dispatchers':true,"
                                + "'workers':false,'first':'workers','steps':[1]},'moves':'RUNNING','steps':[],'open':0},"
                                + "'leaves':{"
                                + (of.length < 4
                                        ? ""
                                        : "'" + of[0] + "':{'number':" + of[1] + ",'run':" + of[2]
                                                + ",'release':'"
                                                + (of[3].isEmpty() ? "" : "r") + "','why':'" + of[3] + "'}")
                                + "}"
                                + (halted ? ",'halt':{'number':1,'by':'op','why':'x'}" : "") + "}")
                        .replace('\'', '"'))
                .text();
    }

    private Releases.Fleet fleet(Register register) {
        return new Releases.Fleet() {
            @Override
            public Register register() {
                return register;
            }

            @Override
            public View view() {
                return new View(List.of(), View.Service.NONE);
            }

            @Override
            public long run() {
                return 7;
            }

            @Override
            public boolean quiesce() {
                out = true;
                return true;
            }

            @Override
            public boolean resume() {
                out = false;
                return true;
            }
        };
    }

    /** A dispatcher is seen as it says, while that is fresh and of this run; a cold worker by its warmth. */
    @Test
    void membersAreSeenAsTheyAre() throws Exception {
        Config config = ConfigReader.read(Files.readString(Path.of("example/config.json")), Map.of());
        Statuses statuses = new Statuses(1, "", "", (to, bytes) -> {});
        statuses.heard("m", new Status(5, 1, "v", "z", Status.Phase.SERVING, 0.5, 0, 10, 4).bytes(), 1000);
        statuses.heard("d", new Status(5, 1, "v", "z", Status.Phase.DRAINING, 0, 0.25, 50, 12).bytes(), 1000);
        Sight sight = new Sight(new RouteSink() {
            @Override
            public void news(EndpointUpdate news) {}

            @Override
            public void watchLost(Dispatch.ListLoss loss, double heardAgoMs) {}

            @Override
            public void unconfirmed(Dispatch.ListDoubt why, double heardAgoMs) {}
        });
        List<Route> routes = List.of(
                new Route("warm", "a", Route.State.SERVING, 2, 0, 3, 0, 0),
                new Route("cold", "b", Route.State.SERVING, 2, -1, 3, -1, 100_000),
                new Route("leaves", "c", Route.State.DRAINING, 2, 0, 3, 0, 0));
        sight.news(new EndpointUpdate(EndpointUpdate.Kind.WHOLE, 1, routes));
        Object[][] table = {
            {"m", Update.State.ALIVE, 5, 4000, "SERVING"},
            {"m", Update.State.ALIVE, 5, 4001, "UNKNOWN"},
            {"m", Update.State.ALIVE, 6, 2000, "UNKNOWN"},
            {"m", Update.State.SUSPECT, 5, 2000, "SERVING"},
            {"m", Update.State.DEAD, 5, 2000, "DOWN"},
            {"m", Update.State.LEFT, 5, 2000, "DOWN"},
            {"d", Update.State.ALIVE, 5, 2000, "DRAINING"},
            {"x", Update.State.ALIVE, 5, 2000, "UNKNOWN"}
        };
        for (Object[] row : table) {
            Update u = new Update((String) row[0], "a:1", (Update.State) row[1], (int) row[2], 0, "");
            View seen = sight.view(List.of(u), statuses, config, (int) row[3], 112_000);
            assertEquals(
                    row[4],
                    seen.member((String) row[0]).status().name(),
                    List.of(row).toString());
            assertEquals(2, seen.member("warm").capacity());
            assertEquals(2 * 0.56, seen.member("cold").capacity(), 1e-9, "12 s of 24, from 0.12");
            assertTrue(!seen.member("cold").warm() && !seen.member("leaves").serving());
            assertEquals(
                    100_001, seen.member("warm").run() + seen.member("cold").run(), "1: long ago");
        }
        View.Service both = sight.view(
                        List.of(
                                new Update("m", "", Update.State.ALIVE, 5, 0, ""),
                                new Update("d", "", Update.State.ALIVE, 5, 0, "")),
                        statuses,
                        config,
                        2000,
                        0)
                .service();
        assertEquals(new View.Service(0.125, 0.1875, 40, 16), both, "each by its answers");
    }
}
