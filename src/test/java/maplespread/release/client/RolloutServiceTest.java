package maplespread.release.client;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import maplespread.cluster.SharedState;
import maplespread.consensus.ChangeResult;
import maplespread.consensus.ConsensusSettings;
import maplespread.consensus.Mutation;
import maplespread.consensus.client.ReplicatedRegister;
import maplespread.membership.MembershipSettings;
import maplespread.membership.client.ClusterTransport;
import maplespread.release.FleetView;
import maplespread.release.Limits;
import maplespread.release.RolloutAction;
import maplespread.release.RolloutState;
import org.junit.jupiter.api.Test;

/** Actions that a running instance carries out by the agreed state. */
class RolloutServiceTest {
    private volatile boolean drained;

    /** Late and repeated drains, and those for another member or incarnation, with a register of one elector. */
    @Test
    void drainsOnlyWhileTheOutageIsGranted() throws Exception {
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
            // Agreed outage (member, number, incarnation, phase), halt, action (drain or recall, incarnation, outage),
            // and whether the instance is drained afterwards. The release is in phase RUNNING.
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
                releases.carryOutLocally(
                        register,
                        row[2].equals("drain")
                                ? new RolloutAction.Drain("n0", run, leave)
                                : new RolloutAction.CancelDrain("n0", run, leave));
                assertEquals(Boolean.parseBoolean(row[5]), drained, line);
            }
        }
    }

    private static void decided(ReplicatedRegister register, Mutation change) {
        while (register.change(change, 1000).outcome() != ChangeResult.Outcome.DECIDED) {
            Thread.yield(); // Timed out; retried.
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
                drained = true;
                return true;
            }

            @Override
            public boolean resume() {
                drained = false;
                return true;
            }
        };
    }
}
