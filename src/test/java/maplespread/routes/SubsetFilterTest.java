package maplespread.routes;

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
import maplespread.decision.Dispatch;
import maplespread.facade.EndpointUpdate;
import maplespread.facade.EndpointUpdate.Kind;
import maplespread.facade.Route;
import maplespread.facade.Route.State;
import maplespread.subset.Cut;
import org.junit.jupiter.api.Test;

/** The subset stage against a view that is kept as the facade keeps its own. */
class SubsetFilterTest {
    private final Map<String, Route> view = new HashMap<>();
    private EndpointUpdate last;
    private int sharers;
    private int lost;
    private final SubsetFilter stage =
            new SubsetFilter(new Cut(3, 10, new Cut.Wish(2, 4), 0), n -> sharers = n, new RouteSink() {
                @Override
                public void news(EndpointUpdate news) {
                    last = news;
                    if (news.kind() != Kind.CHANGES) {
                        view.clear();
                    }
                    for (Route r : news.routes()) {
                        if (r.state() == State.DELETED) {
                            assertTrue(view.remove(r.worker()) != null, "never told of " + r.worker());
                        } else {
                            view.put(r.worker(), r);
                        }
                    }
                }

                @Override
                public void unconfirmed(Dispatch.ListDoubt why, double heardAgoMs) {}

                @Override
                public void watchLost(Dispatch.ListLoss loss, double heardAgoMs) {
                    lost++;
                }
            });

    private static Route route(int w, State state, int cell) {
        return new Route("w-" + w, "127.0.0.1:" + (1000 + w), state, 1, 0, cell, w % 2, 0);
    }

    /** Whatever is told: what is used is as listed, a drain of one in use passes at once, nothing lingers. */
    @Test
    void theViewIsAlwaysACutOfTheList() {
        for (long n = 1; n <= 30; n++) {
            long seed = n;
            SplittableRandom random = new SplittableRandom(seed);
            Map<String, Route> list = new HashMap<>();
            stage.news(new EndpointUpdate(Kind.WHOLE, 1, List.of()));
            for (int step = 0; step < 200; step++) {
                Set<String> inUse = new HashSet<>(view.keySet());
                boolean whole = random.nextInt(20) == 0;
                List<Route> said = new ArrayList<>();
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
                    Route r = route(w, state, random.nextInt(9));
                    said.removeIf(x -> x.worker().equals(r.worker()));
                    said.add(r);
                    if (state == State.DELETED) {
                        list.remove(r.worker());
                    } else {
                        list.put(r.worker(), r);
                    }
                }
                stage.news(new EndpointUpdate(whole ? Kind.WHOLE : Kind.CHANGES, step, said));
                assertEquals(step, last.generation());
                assertEquals(list.size(), stage.listed());
                view.forEach((w, r) -> assertEquals(list.get(w), r, "seed " + seed));
                for (Route r : said) {
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
        List<Route> all = new ArrayList<>();
        for (int w = 0; w < 60; w++) {
            all.add(route(w, State.SERVING, 0));
        }
        stage.news(new EndpointUpdate(Kind.HELD, 7, all));
        assertTrue(sharers >= 2 && sharers < 10, "shared by " + sharers);
        int used = view.size();
        Route one = view.values().iterator().next();
        stage.news(new EndpointUpdate(
                Kind.CHANGES,
                8,
                List.of(new Route(one.worker(), one.address(), State.DRAINING, 1, 0, 0, one.zone(), 0))));
        assertEquals(used + 1, view.size());
        assertTrue(last.current(), "its source has spoken");
        stage.fleet(10, Cut.Wish.ALL);
        assertEquals(60, view.size());
        assertFalse(last.current(), "another subset is no word of discovery");
        assertEquals(10, sharers);
        stage.watchLost(Dispatch.ListLoss.ENDED, 0);
        assertEquals(1, lost);
    }
}
