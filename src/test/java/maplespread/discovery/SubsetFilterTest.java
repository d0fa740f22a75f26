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

/** The subset stage against a view that is kept as the facade keeps its own. */
class SubsetFilterTest {
    private final Map<String, Endpoint> view = new HashMap<>();
    private EndpointUpdate last;
    private int sharers;
    private int lost;
    private final SubsetFilter stage = new SubsetFilter(
            new SubsetAssignment(3, 10, new SubsetAssignment.SubsetSettings(2, 4), 0),
            n -> sharers = n,
            new EndpointListener() {
                @Override
                public void endpointsChanged(EndpointUpdate news) {
                    last = news;
                    if (news.kind() != Kind.DELTA) {
                        view.clear();
                    }
                    for (Endpoint r : news.endpoints()) {
                        if (r.state() == State.DELETED) {
                            assertTrue(view.remove(r.worker()) != null, "never told of " + r.worker());
                        } else {
                            view.put(r.worker(), r);
                        }
                    }
                }

                @Override
                public void listUnconfirmed(EndpointListDoubt why, double heardAgoMs) {}

                @Override
                public void watchLost(EndpointWatchFailure loss, double heardAgoMs) {
                    lost++;
                }
            });

    private static Endpoint route(int w, State state, int cell) {
        return new Endpoint("w-" + w, "127.0.0.1:" + (1000 + w), state, 1, 0, cell, w % 2, 0);
    }

    /** Whatever is told: what is used is as listed, a drain of one in use passes at once, nothing lingers. */
    @Test
    void theViewIsAlwaysACutOfTheList() {
        for (long n = 1; n <= 30; n++) {
            long seed = n;
            SplittableRandom random = new SplittableRandom(seed);
            Map<String, Endpoint> list = new HashMap<>();
            stage.endpointsChanged(new EndpointUpdate(Kind.FULL_SNAPSHOT, 1, List.of()));
            for (int step = 0; step < 200; step++) {
                Set<String> inUse = new HashSet<>(view.keySet());
                boolean whole = random.nextInt(20) == 0;
                List<Endpoint> said = new ArrayList<>();
                if (whole) {
                    list.keySet().removeIf(w -> random.nextInt(4) == 0);
                    said.addAll(list.values());
                }
                for (int i = random.nextInt(4); i > 0; i--) {
                    int w = random.nextInt(60);
                    State state = State.values()[random.nextInt(3)];
                    if (whole && state == State.DELETED) {
                        continue;
                    }
                    Endpoint r = route(w, state, random.nextInt(9));
                    said.removeIf(x -> x.worker().equals(r.worker()));
                    said.add(r);
                    if (state == State.DELETED) {
                        list.remove(r.worker());
                    } else {
                        list.put(r.worker(), r);
                    }
                }
                stage.endpointsChanged(new EndpointUpdate(whole ? Kind.FULL_SNAPSHOT : Kind.DELTA, step, said));
                assertEquals(step, last.version());
                assertEquals(list.size(), stage.listed());
                view.forEach((w, r) -> assertEquals(list.get(w), r, "seed " + seed));
                for (Endpoint r : said) {
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
    void aDrainMakesRoomForAnother() {
        List<Endpoint> all = new ArrayList<>();
        for (int w = 0; w < 60; w++) {
            all.add(route(w, State.SERVING, 0));
        }
        stage.endpointsChanged(new EndpointUpdate(Kind.CACHED_SNAPSHOT, 7, all));
        assertTrue(sharers >= 2 && sharers < 10, "shared by " + sharers);
        int used = view.size();
        Endpoint one = view.values().iterator().next();
        stage.endpointsChanged(new EndpointUpdate(
                Kind.DELTA,
                8,
                List.of(new Endpoint(one.worker(), one.address(), State.DRAINING, 1, 0, 0, one.zone(), 0))));
        assertEquals(used + 1, view.size());
        assertTrue(last.confirmed(), "its source has spoken");
        stage.resize(10, SubsetAssignment.SubsetSettings.ALL);
        assertEquals(60, view.size());
        assertFalse(last.confirmed(), "another subset is no word of discovery");
        assertEquals(10, sharers);
        stage.watchLost(EndpointWatchFailure.ENDED, 0);
        assertEquals(1, lost);
    }
}
