package maplespread.release.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import maplespread.cluster.MemberStatus;
import maplespread.cluster.MemberStatusTable;
import maplespread.config.Config;
import maplespread.config.ConfigReader;
import maplespread.discovery.EndpointListener;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;
import maplespread.membership.MemberUpdate;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;
import maplespread.release.FleetView;
import org.junit.jupiter.api.Test;

/** An instance's view of the fleet. */
class FleetObserverTest {
    /** A dispatcher has the status of its recent report of this incarnation; a cold worker, a reduced capacity. */
    @Test
    void tellsMembersByTheirOwnRecentStatusAndWorkersByTheirWarmth() throws Exception {
        Config config = ConfigReader.read(Files.readString(Path.of("example/config.json")), Map.of());
        MemberStatusTable statuses = new MemberStatusTable(1, "", "", (to, bytes) -> {});
        statuses.receive(
                "m", new MemberStatus(5, 1, "v", "z", MemberStatus.Phase.SERVING, 0.5, 0, 10, 4).encode(), 1000);
        statuses.receive(
                "d", new MemberStatus(5, 1, "v", "z", MemberStatus.Phase.DRAINING, 0, 0.25, 50, 12).encode(), 1000);
        FleetObserver observer = new FleetObserver(new EndpointListener() {
            @Override
            public void endpointsChanged(EndpointUpdate update) {}

            @Override
            public void watchLost(EndpointWatchFailure loss, double heardAgoMs) {}

            @Override
            public void listUnconfirmed(EndpointListDoubt why, double heardAgoMs) {}
        });
        List<Endpoint> endpoints = List.of(
                new Endpoint("warm", "a", Endpoint.State.SERVING, 2, 0, 3, 0, 0),
                new Endpoint("cold", "b", Endpoint.State.SERVING, 2, -1, 3, -1, 100_000),
                new Endpoint("leaves", "c", Endpoint.State.DRAINING, 2, 0, 3, 0, 0));
        observer.endpointsChanged(new EndpointUpdate(EndpointUpdate.Kind.FULL_SNAPSHOT, 1, endpoints));
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
            MemberUpdate update =
                    new MemberUpdate((String) row[0], "a:1", (MemberUpdate.State) row[1], (int) row[2], 0, "");
            FleetView seen = observer.observe(List.of(update), statuses, config, (int) row[3], 112_000);
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
        FleetView.ServiceLevel both = observer.observe(
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
