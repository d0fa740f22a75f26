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
import maplespread.cluster.MemberStatus;
import maplespread.cluster.MemberStatusTable;
import maplespread.cluster.SharedState;
import maplespread.config.Config;
import maplespread.config.ConfigReader;
import maplespread.consensus.ChangeResult;
import maplespread.consensus.ConsensusSettings;
import maplespread.consensus.Mutation;
import maplespread.consensus.client.ReplicatedRegister;
import maplespread.discovery.EndpointListener;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;
import maplespread.membership.MemberUpdate;
import maplespread.membership.MembershipSettings;
import maplespread.membership.client.ClusterTransport;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;
import maplespread.release.FleetView;
import maplespread.release.Limits;
import maplespread.release.RolloutAction;
import maplespread.release.RolloutState;
import org.junit.jupiter.api.Test;

class RolloutServiceTest {
    private volatile boolean out;

    /** By a register of one elector: what is carried out of drains that come late, twice, or for another. */
    @Test
    void aDrainIsCarriedOutOnlyWhileItsLeaveStands() throws Exception {
        String address;
        try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            address = "127.0.0.1:" + free.getLocalPort();
        }
        try (ClusterTransport group = new ClusterTransport(
                        MembershipSettings.of("n0", address, List.of()),
                        new LinkedHashMap<>(Map.of(1, new byte[16])),
                        1);
                ReplicatedRegister register =
                        new ReplicatedRegister(ConsensusSettings.of("n0", List.of("n0")), group, 1);
                RolloutService releases =
                        new RolloutService("n0", fleet(register), new WorkerDrainer(null), Limits.DEFAULT)) {
            decided(register, Mutation.READ);
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
                decided(register, v -> SharedState.write(v.text(), "release", text));
                int run = Integer.parseInt(row[3]);
                int leave = Integer.parseInt(row[4]);
                releases.carryOutHere(
                        register,
                        row[2].equals("drain")
                                ? new RolloutAction.Drain("n0", run, leave)
                                : new RolloutAction.CancelDrain("n0", run, leave));
                assertEquals(Boolean.parseBoolean(row[5]), out, line);
            }
        }
    }

    private static void decided(ReplicatedRegister register, Mutation change) {
        while (register.change(change, 1000).outcome() != ChangeResult.Outcome.DECIDED) {
            Thread.yield(); // its time was over: it is asked again
        }
    }

    private static String state(String leave, boolean halted) {
        String[] of = leave.split(":", -1);
        return RolloutState.parse(("{'release':{'plan':{'id':'r','from':'','to':'','dispatchers':true,"
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
                .toText();
    }

    private RolloutService.LocalInstance fleet(ReplicatedRegister register) {
        return new RolloutService.LocalInstance() {
            @Override
            public ReplicatedRegister register() {
                return register;
            }

            @Override
            public FleetView view() {
                return new FleetView(List.of(), FleetView.ServiceLevel.NONE);
            }

            @Override
            public long incarnation() {
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
        MemberStatusTable statuses = new MemberStatusTable(1, "", "", (to, bytes) -> {});
        statuses.receive(
                "m", new MemberStatus(5, 1, "v", "z", MemberStatus.Phase.SERVING, 0.5, 0, 10, 4).encode(), 1000);
        statuses.receive(
                "d", new MemberStatus(5, 1, "v", "z", MemberStatus.Phase.DRAINING, 0, 0.25, 50, 12).encode(), 1000);
        FleetObserver sight = new FleetObserver(new EndpointListener() {
            @Override
            public void endpointsChanged(EndpointUpdate news) {}

            @Override
            public void watchLost(EndpointWatchFailure loss, double heardAgoMs) {}

            @Override
            public void listUnconfirmed(EndpointListDoubt why, double heardAgoMs) {}
        });
        List<Endpoint> routes = List.of(
                new Endpoint("warm", "a", Endpoint.State.SERVING, 2, 0, 3, 0, 0),
                new Endpoint("cold", "b", Endpoint.State.SERVING, 2, -1, 3, -1, 100_000),
                new Endpoint("leaves", "c", Endpoint.State.DRAINING, 2, 0, 3, 0, 0));
        sight.endpointsChanged(new EndpointUpdate(EndpointUpdate.Kind.FULL_SNAPSHOT, 1, routes));
        Object[][] table = {
            {"m", MemberUpdate.State.ALIVE, 5, 4000, "SERVING"},
            {"m", MemberUpdate.State.ALIVE, 5, 4001, "UNKNOWN"},
            {"m", MemberUpdate.State.ALIVE, 6, 2000, "UNKNOWN"},
            {"m", MemberUpdate.State.SUSPECT, 5, 2000, "SERVING"},
            {"m", MemberUpdate.State.DEAD, 5, 2000, "DOWN"},
            {"m", MemberUpdate.State.LEFT, 5, 2000, "DOWN"},
            {"d", MemberUpdate.State.ALIVE, 5, 2000, "DRAINING"},
            {"x", MemberUpdate.State.ALIVE, 5, 2000, "UNKNOWN"}
        };
        for (Object[] row : table) {
            MemberUpdate u = new MemberUpdate((String) row[0], "a:1", (MemberUpdate.State) row[1], (int) row[2], 0, "");
            FleetView seen = sight.observe(List.of(u), statuses, config, (int) row[3], 112_000);
            assertEquals(
                    row[4],
                    seen.member((String) row[0]).orElseThrow().status().name(),
                    List.of(row).toString());
            assertEquals(2, seen.member("warm").orElseThrow().capacity());
            assertEquals(2 * 0.56, seen.member("cold").orElseThrow().capacity(), 1e-9, "12 s of 24, from 0.12");
            assertTrue(!seen.member("cold").orElseThrow().warm()
                    && !seen.member("leaves").orElseThrow().serving());
            assertEquals(
                    100_001,
                    seen.member("warm").orElseThrow().incarnation()
                            + seen.member("cold").orElseThrow().incarnation(),
                    "1: long ago");
        }
        FleetView.ServiceLevel both = sight.observe(
                        List.of(
                                new MemberUpdate("m", "", MemberUpdate.State.ALIVE, 5, 0, ""),
                                new MemberUpdate("d", "", MemberUpdate.State.ALIVE, 5, 0, "")),
                        statuses,
                        config,
                        2000,
                        0)
                .service();
        assertEquals(new FleetView.ServiceLevel(0.125, 0.1875, 40, 16), both, "each by its answers");
    }
}
