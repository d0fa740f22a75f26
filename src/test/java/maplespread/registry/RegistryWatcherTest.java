package maplespread.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import maplespread.config.ConfigReader;
import maplespread.facade.Attempt;
import maplespread.facade.Decision;
import maplespread.facade.DecisionService;
import maplespread.facade.Endpoint;
import maplespread.facade.EndpointUpdate;
import maplespread.facade.InFlightRequest;
import maplespread.lab.registry.Store;
import maplespread.lab.registry.VirtualRegistry;
import maplespread.registry.RegistrySettings.Dialect;
import org.junit.jupiter.api.Test;

/** The watcher alone: what single moments need that the random histories would meet only by luck. */
class RegistryWatcherTest {
    private final List<EndpointUpdate> updates = new ArrayList<>();
    private final List<String> events = new ArrayList<>();
    private final Store store = new Store();
    private long now = 1;

    private final RegistryListener sink = new RegistryListener() {
        @Override
        public void endpointsChanged(EndpointUpdate update) {
            updates.add(update);
        }

        @Override
        public void eventOccurred(boolean warning, String name, Object... pairs) {
            events.add(name);
        }
    };

    private static Endpoint endpoint(String key, String text) {
        String[] f = text.split(" ");
        return new Endpoint(
                key,
                "127.0.0.1:1",
                Endpoint.State.valueOf(f[0]),
                1,
                0,
                0,
                0,
                f.length > 1 ? Double.parseDouble(f[1]) : 0);
    }

    private RegistrySettings settings(Dialect dialect) {
        return RegistrySettings.withDefaults(dialect, List.of("a:1", "b:1"), List.of("/w/"));
    }

    private RegistryWatcher watcher(RegistrySettings s, int peers) {
        EndpointView view = new EndpointView(1, RegistryWatcherTest::endpoint, s.forgetAfterMs(), sink);
        return new RegistryWatcher(s, 0, 1, peers, view, 3, now, sink);
    }

    private static Revision history(long revision) {
        return new Revision("c", revision, 2);
    }

    /** As far as a watch that is on, with one worker at revision 10. */
    private RegistryWatcher following() {
        RegistryWatcher watcher = watcher(settings(Dialect.ETCD), 1);
        assertInstanceOf(RegistryCall.RangePage.class, watcher.nextCall(now));
        assertTrue(watcher.onPage(now, history(10), List.of(RegistryEntry.of("/w/a", "SERVING", 10)), false));
        watcher.onCallEnded(now, CallOutcome.DONE);
        RegistryCall.Watch watch = assertInstanceOf(RegistryCall.Watch.class, watcher.nextCall(now));
        assertEquals(List.of(11L), watch.fromRevisions());
        assertTrue(watcher.onWatchCreated(now, history(10), 0));
        return watcher;
    }

    @Test
    void aRevisionIsTakenWholeOrNotAtAll() {
        RegistryWatcher watcher = following();
        watcher.onChanges(now, history(12), 0, List.of(RegistryEntry.of("/w/a", "DRAINING", 11)), true);
        assertEquals(1, updates.size(), "the rest of the revision has not come");
        watcher.onCallEnded(now, CallOutcome.BROKEN);
        now += 1000;
        RegistryCall.VerifyHistory check = assertInstanceOf(RegistryCall.VerifyHistory.class, watcher.nextCall(now));
        assertEquals(new RegistryCall.HistoryProof(10, "/w/a"), check.proofs().get(0));
        watcher.onHistoryVerified(
                now, history(12), List.of(1L), List.of(RegistryEntry.of("/w/a", "SERVING", 10)), false);
        watcher.onCallEnded(now, CallOutcome.DONE);
        now += 1000;
        assertEquals(
                new RegistryCall.ReadMissedChanges(1, List.of(10L)), watcher.nextCall(now), "all of revision 11 again");
        watcher.onMissedChanges(
                now, history(12), List.of(1L), List.of(List.of(RegistryEntry.of("/w/a", "DRAINING", 11))));
        watcher.onCallEnded(now, CallOutcome.DONE);
        assertEquals(Endpoint.State.DRAINING, updates.get(1).endpoints().get(0).state());
        now += 1000;
        assertEquals(List.of(13L), ((RegistryCall.Watch) watcher.nextCall(now)).fromRevisions(), "it was as far as 12");
    }

    @Test
    void theHeaderOfAnAnswerIsNoPlaceToResumeFrom() {
        RegistryWatcher watcher = following();
        watcher.onChanges(now, history(90), 0, List.of(RegistryEntry.of("/w/b", "SERVING", 11)), false);
        assertEquals(11, watcher.revision(), "events up to 90 may yet be on their way");
        watcher.onProgress(now, history(90), 0);
        assertEquals(90, watcher.revision());
    }

    @Test
    void aRebuildFromAMemberThatLagsChangesNothing() {
        RegistryWatcher watcher = following();
        watcher.onChanges(now, history(20), 0, List.of(RegistryEntry.of("/w/a", "DRAINING", 20)), false);
        watcher.onWatchCanceled(now, 30, "");
        watcher.onCallEnded(now, CallOutcome.STOPPED);
        now += 1000;
        assertInstanceOf(RegistryCall.RangePage.class, watcher.nextCall(now));
        assertFalse(watcher.onPage(now, history(15), List.of(RegistryEntry.of("/w/a", "SERVING", 10)), false));
        watcher.onCallEnded(now, CallOutcome.STOPPED);
        assertEquals(2, updates.size());
        assertEquals(20, watcher.revision());
    }

    @Test
    void pagesReadBeforeABreakAreOfNoUse() {
        RegistryWatcher watcher =
                watcher(RegistrySettings.withDefaults(Dialect.ETCD, List.of("a:1"), List.of("/w/")), 1);
        watcher.nextCall(now);
        assertTrue(watcher.onPage(now, history(10), List.of(RegistryEntry.of("/w/a", "SERVING", 10)), true));
        watcher.onCallEnded(now, CallOutcome.DONE);
        assertEquals(new RegistryCall.RangePage(0, 0, "/w/a", 10, 1000), watcher.nextCall(now));
        watcher.onCallEnded(now, CallOutcome.BROKEN);
        now += 10_000;
        assertEquals(new RegistryCall.RangePage(0, 0, "", 0, 2000), watcher.nextCall(now));
    }

    @Test
    void aValueThatCannotBeReadCostsItsOwnChangeOnly() {
        RegistryWatcher watcher = following();
        watcher.onChanges(
                now,
                history(11),
                0,
                List.of(RegistryEntry.of("/w/a", "?", 11), RegistryEntry.of("/w/b", "SERVING", 11)),
                false);
        assertEquals(
                List.of("/w/b"),
                updates.get(1).endpoints().stream().map(Endpoint::worker).toList());
        assertTrue(events.contains("registry.unreadable"));
        watcher.onChanges(now, history(12), 0, List.of(RegistryEntry.of("/w/a", "DRAINING", 12)), false);
        assertEquals(Endpoint.State.DRAINING, updates.get(2).endpoints().get(0).state());
    }

    @Test
    void absenceFromARestoredHistoryIsNobodysWordForAWhile() {
        RegistryWatcher watcher = following();
        watcher.onCallEnded(now, CallOutcome.BROKEN);
        now += 1000;
        watcher.nextCall(now);
        watcher.onHistoryVerified(now, history(20), List.of(0L), java.util.Collections.singletonList(null), false);
        watcher.onCallEnded(now, CallOutcome.STOPPED);
        now += 1000;
        assertInstanceOf(RegistryCall.RangePage.class, watcher.nextCall(now));
        watcher.onPage(now, history(20), List.of(RegistryEntry.of("/w/b", "SERVING", 15)), false);
        watcher.onCallEnded(now, CallOutcome.DONE);
        assertEquals(
                List.of("/w/b"),
                updates.get(1).endpoints().stream().map(Endpoint::worker).toList());
        now += 15_000;
        watcher.nextCall(now);
        assertEquals(2, updates.size(), "nobody has said that it did not come back");
        watcher.onWatchCreated(now, history(20), 0);
        watcher.onProgress(now, history(20), 0);
        assertEquals(Endpoint.State.DELETED, updates.get(2).endpoints().get(0).state());
        assertEquals("/w/a", updates.get(2).endpoints().get(0).worker());
    }

    @Test
    void anotherClusterIsBelievedOnlyAfterAWhile() {
        RegistryWatcher watcher = following();
        watcher.onCallEnded(now, CallOutcome.BROKEN);
        long began = now += 1000;
        Revision other = new Revision("other", 500, 9);
        while (events.stream().noneMatch("registry.history_changed"::equals)) {
            RegistryCall call = watcher.nextCall(now);
            if (call instanceof RegistryCall.Pause p) {
                now = p.untilMs();
            } else {
                assertInstanceOf(RegistryCall.VerifyHistory.class, call);
                assertFalse(watcher.onHistoryVerified(
                        now, other, List.of(0L), java.util.Collections.singletonList(null), false));
                watcher.onCallEnded(now, CallOutcome.STOPPED);
            }
        }
        assertTrue(now - began >= 3000, "after " + (now - began));
        assertEquals(1, updates.size(), "nothing has changed until then");
    }

    @Test
    void aRefusedTokenIsAskedAboutSeldomAndAtOnceWhenItChanges() {
        RegistryWatcher watcher = watcher(settings(Dialect.ETCD), 1);
        int asked = 0;
        while (now < 60_000) {
            RegistryCall call = watcher.nextCall(now);
            if (call instanceof RegistryCall.Pause p) {
                now = p.untilMs();
            } else {
                asked++;
                watcher.onCallEnded(now, CallOutcome.DENIED);
            }
        }
        assertTrue(asked <= 40, "asked " + asked + " times in a minute at two endpoints");
        assertTrue(watcher.denied());
        watcher.onTokenChanged(now);
        assertInstanceOf(RegistryCall.RangePage.class, watcher.nextCall(now));
    }

    @Test
    void anAnswerTooLargeMakesPagesSmaller() {
        RegistryWatcher watcher = watcher(settings(Dialect.ETCD), 1);
        assertEquals(1000, ((RegistryCall.RangePage) watcher.nextCall(now)).limit());
        watcher.onCallEnded(now, CallOutcome.TOO_LARGE);
        now += 100;
        assertEquals(250, ((RegistryCall.RangePage) watcher.nextCall(now)).limit());
    }

    @Test
    void consulWithoutALeaderOrWithAnIndexOfZeroIsNotTakenAtItsWord() {
        RegistryWatcher watcher = watcher(settings(Dialect.CONSUL_KV), 1);
        watcher.nextCall(now);
        assertFalse(watcher.onQueryResult(now, 7, false, 0, List.of()), "an empty list without a leader");
        watcher.onCallEnded(now, CallOutcome.STOPPED);
        assertEquals(0, updates.size());
        now += 10_000;
        watcher.nextCall(now);
        watcher.onQueryResult(now, 0, true, 0, List.of(RegistryEntry.of("/w/a", "SERVING", 1)));
        watcher.onCallEnded(now, CallOutcome.DONE);
        now += 1000;
        assertEquals(
                1, ((RegistryCall.BlockingQuery) watcher.nextCall(now)).index(), "an index of zero would not block");
    }

    /** Two hundred that lose one registry together keep to the rate that they are to share. */
    @Test
    void aFleetReturnsWithoutFellingTheRegistry() {
        RegistrySettings s = new RegistrySettings(
                Dialect.ETCD,
                List.of("a:1"),
                List.of("/w/"),
                "",
                10,
                400,
                500,
                3000,
                10_000,
                60_000,
                30_000,
                3000,
                15_000,
                60_000);
        for (int i = 0; i < 50; i++) {
            store.put("/w/" + i, "SERVING");
        }
        VirtualRegistry.Member member = new VirtualRegistry.Member(store);
        VirtualRegistry registry = new VirtualRegistry(s, List.of(member));
        List<VirtualRegistry.Conversation> all = new ArrayList<>();
        List<RegistryWatcher> watchers = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            watchers.add(new RegistryWatcher(
                    s, 0, 1, 200, new EndpointView(1, RegistryWatcherTest::endpoint, 1000, sink), i, now, sink));
            all.add(registry.new Conversation(watchers.get(i), i));
        }
        run(all, 8000);
        member.down = true;
        run(all, 2000);
        store.put("/w/1", "DRAINING");
        store.compact(store.revision());
        member.down = false;
        long most = 0;
        for (int second = 0; second < 20; second++) {
            long before = registry.requests();
            run(all, 1000);
            most = Math.max(most, registry.requests() - before);
        }
        assertTrue(most <= 2 * 400, "requests in one second: " + most);
        assertTrue(watchers.stream().allMatch(c -> c.revision() == store.revision()));
    }

    private void run(List<VirtualRegistry.Conversation> all, long ms) {
        for (long end = now + ms; now < end; now++) {
            all.forEach(c -> c.step(now));
        }
    }

    /** Most workers vanish in one moment; those that register after it are cold, and are not flooded. */
    @Test
    void afterAMassExpiryTheSuccessorsAreNotFlooded() throws Exception {
        DecisionService d = new DecisionService(
                ConfigReader.read(
                                java.nio.file.Files.readString(java.nio.file.Path.of("example/config.json")), Map.of())
                        .settings(),
                7);
        RegistryWatcher watcher = watcher(settings(Dialect.ETCD), 1);
        VirtualRegistry registry = new VirtualRegistry(
                settings(Dialect.ETCD), List.of(new VirtualRegistry.Member(store), new VirtualRegistry.Member(store)));
        VirtualRegistry.Conversation c = registry.new Conversation(watcher, 1);
        long lease = store.grant(1000, 0);
        for (int i = 0; i < 20; i++) {
            store.put("/w/old" + i, "SERVING 0", lease);
        }
        run(List.of(c), 50);
        store.loseLeases();
        long start = System.currentTimeMillis();
        for (int i = 0; i < 4; i++) {
            store.put("/w/new" + i, "SERVING " + start);
        }
        run(List.of(c), 50);
        d.reportEndpoints(new EndpointUpdate(EndpointUpdate.Kind.CACHED_SNAPSHOT, 0, List.of()));
        updates.forEach(d::reportEndpoints);
        Map<String, Integer> sent = new HashMap<>();
        long begun = System.nanoTime();
        for (int i = 0; i < 400; i++) {
            Decision decision = d.decide(new InFlightRequest(1, 0, d.nowUs() + 300_000, 100, 1, 0, null));
            if (decision instanceof Attempt b) {
                sent.merge(b.worker(), 1, Integer::sum);
            }
        }
        // Four times what 2 slots at 0.12 of their speed do in a second is 9.6 jobs of 100 ms; one may be
        // under way when the budget ends. A machine that takes seconds for it grants as many budgets.
        int budgets = 1 + (int) ((System.nanoTime() - begun) / 1_000_000_000L);
        assertEquals(4, sent.size(), "the new ones, and no old one: " + sent);
        sent.values().forEach(n -> assertTrue(n <= 11 * budgets, sent + " in " + budgets));
    }
}
