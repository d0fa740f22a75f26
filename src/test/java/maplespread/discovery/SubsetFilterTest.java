package maplespread.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import maplespread.facade.Endpoint;
import maplespread.facade.Endpoint.State;
import maplespread.facade.EndpointUpdate;
import maplespread.facade.EndpointUpdate.Kind;
import maplespread.policy.EndpointListDoubt;
import maplespread.policy.EndpointWatchFailure;
import maplespread.subset.SubsetAssignment;
import org.junit.jupiter.api.Test;

/** Tests the subset filter with a listener that keeps its view of the endpoints as the facade does. */
class SubsetFilterTest {
    private final Map<String, Endpoint> view = new HashMap<>();
    private EndpointUpdate last;
    private int dispatchersPerWorker;
    private int watchesLost;
    private final SubsetFilter filter = new SubsetFilter(
            new SubsetAssignment(3, 10, new SubsetAssignment.SubsetSettings(2, 4), 0),
            n -> dispatchersPerWorker = n,
            new EndpointListener() {
                @Override
                public void endpointsChanged(EndpointUpdate update) {
                    last = update;
                    if (update.kind() != Kind.DELTA) {
                        view.clear();
                    }
                    for (Endpoint r : update.endpoints()) {
                        if (r.state() == State.DELETED) {
                            assertTrue(view.remove(r.worker()) != null, "deleted without being listed: " + r.worker());
                        } else {
                            view.put(r.worker(), r);
                        }
                    }
                }

                @Override
                public void listUnconfirmed(EndpointListDoubt doubt, double lastReceivedAgoMs) {}

                @Override
                public void watchLost(EndpointWatchFailure failure, double lastReceivedAgoMs) {
                    watchesLost++;
                }
            });

    private static Endpoint endpoint(int w, State state, int cell) {
        return new Endpoint("w-" + w, "127.0.0.1:" + (1000 + w), state, 1, 0, cell, w % 2, 0);
    }

    /** Random updates: the view matches the list, the drain of a worker in use is forwarded, no worker is left over. */
    @Test
    void viewIsAlwaysASubsetOfTheList() {
        for (long n = 1; n <= 30; n++) {
            long seed = n;
            SplittableRandom random = new SplittableRandom(seed);
            Map<String, Endpoint> list = new HashMap<>();
            filter.endpointsChanged(new EndpointUpdate(Kind.FULL_SNAPSHOT, 1, List.of()));
            for (int step = 0; step < 200; step++) {
                Set<String> inUse = new HashSet<>(view.keySet());
                boolean full = random.nextInt(20) == 0;
                List<Endpoint> updates = new ArrayList<>();
                if (full) {
                    list.keySet().removeIf(w -> random.nextInt(4) == 0);
                    updates.addAll(list.values());
                }
                for (int i = random.nextInt(4); i > 0; i--) {
                    int w = random.nextInt(60);
                    State state = State.values()[random.nextInt(3)];
                    if (full && state == State.DELETED) {
                        continue;
                    }
                    Endpoint r = endpoint(w, state, random.nextInt(9));
                    updates.removeIf(x -> x.worker().equals(r.worker()));
                    updates.add(r);
                    if (state == State.DELETED) {
                        list.remove(r.worker());
                    } else {
                        list.put(r.worker(), r);
                    }
                }
                filter.endpointsChanged(new EndpointUpdate(full ? Kind.FULL_SNAPSHOT : Kind.DELTA, step, updates));
                assertEquals(step, last.version());
                assertEquals(list.size(), filter.listed());
                view.forEach((w, r) -> assertEquals(list.get(w), r, "seed " + seed));
                for (Endpoint r : updates) {
                    if (r.state() == State.DRAINING && inUse.contains(r.worker())) {
                        assertEquals(State.DRAINING, view.get(r.worker()).state(), "seed " + seed);
                    }
                }
                long serving = list.values().stream()
                        .filter(r -> r.state() == State.SERVING)
                        .count();
                long used = view.values().stream()
                        .filter(r -> r.state() == State.SERVING)
                        .count();
                assertTrue(used >= Math.min(4, serving), "seed " + seed + ": " + used + " of " + serving);
            }
        }
    }

    @Test
    void drainingWorkerIsReplacedInTheSubset() {
        List<Endpoint> all = new ArrayList<>();
        for (int w = 0; w < 60; w++) {
            all.add(endpoint(w, State.SERVING, 0));
        }
        filter.endpointsChanged(new EndpointUpdate(Kind.CACHED_SNAPSHOT, 7, all));
        assertTrue(dispatchersPerWorker >= 2 && dispatchersPerWorker < 10, "shared by " + dispatchersPerWorker);
        int used = view.size();
        Endpoint one = view.values().iterator().next();
        filter.endpointsChanged(new EndpointUpdate(
                Kind.DELTA,
                8,
                List.of(new Endpoint(one.worker(), one.address(), State.DRAINING, 1, 0, 0, one.zone(), 0))));
        assertEquals(used + 1, view.size());
        assertTrue(last.confirmed(), "an update of the source confirms the list");
        filter.resize(10, SubsetAssignment.SubsetSettings.ALL);
        assertEquals(60, view.size());
        assertFalse(last.confirmed(), "a resize does not confirm the list");
        assertEquals(10, dispatchersPerWorker);
        filter.watchLost(EndpointWatchFailure.ENDED, 0);
        assertEquals(1, watchesLost);
    }
}
