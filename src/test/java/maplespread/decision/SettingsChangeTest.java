package maplespread.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import maplespread.decision.Dispatch.*;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/**
 * Settings that change while requests are in work; the host asserts each request's own rules at every send.
 */
class SettingsChangeTest {
    private static Settings settings(Effect effect, int tries) {
        Settings s = Host.settings(Host.clazz(effect, Group.ALL), true, 1);
        return new Settings(
                1,
                0,
                0,
                true,
                true,
                true,
                1000,
                true,
                2,
                0.1,
                0,
                s.classes(),
                List.of(),
                new Permissions(true, true, true, tries, 250, 2000, 5000),
                s.rules());
    }

    private static Host host(Settings set) {
        Host h = new Host(set);
        h.list(
                ListKind.HELD,
                IntStream.range(0, 5).mapToObj(i -> Host.entry("w" + i, 0, 0)).toArray(Entry[]::new));
        return h;
    }

    /** Guards orders: whatever a class becomes, a job in work ends by the rules it was taken under. */
    @Property(tries = 300)
    void aRequestKeepsTheRulesItWasTakenUnder(
            @ForAll Effect was,
            @ForAll Effect becomes,
            @ForAll @IntRange(min = 1, max = 4) int triesWere,
            @ForAll @IntRange(min = 1, max = 4) int triesBecome,
            @ForAll boolean mayHaveRun) {
        Settings before = settings(was, triesWere);
        Settings after = settings(becomes, triesBecome);
        Host h = host(before);
        h.take(1, 100);
        h.change(after);
        h.takeUnder(before, 2);
        h.take(3, 100);
        for (int i = 0; i < 300; i++) { // longer than their deadlines
            for (Map.Entry<Long, Host.Call> e : h.calls.entrySet()) {
                List<Host.Try> tries = e.getValue().tries;
                if (!tries.isEmpty() && !tries.get(tries.size() - 1).over) {
                    h.settle(e.getKey(), mayHaveRun ? Verdict.ERROR : Verdict.FULL);
                }
            }
            h.pass(50);
        }
        for (long id = 1; id <= 3; id++) {
            Host.Call c = h.calls.get(id);
            Effect effect = id == 3 ? becomes : was;
            int most = mayHaveRun && effect == Effect.UNSAFE ? 1 : id == 3 ? triesBecome : triesWere;
            assertEquals(most, c.tries.size(), "attempts of " + id);
            assertEquals(mayHaveRun && effect == Effect.UNSAFE ? "failed" : "refused", c.end);
        }
    }

    private static int sentToACold(Settings set) {
        Host h = new Host(Host.settings(Host.clazz(Effect.READ_LIKE, Group.ALL), true, 4));
        h.change(set);
        h.list(ListKind.HELD, Host.entry("cold", 0, h.now));
        int sent = 0;
        for (int i = 1; i <= 400; i++) {
            Host.Call c = h.take(i, 10);
            h.pass(5);
            if (!c.tries.isEmpty()) {
                sent += c.tries.get(0).worker.equals("cold") ? 1 : 0;
                h.settle(i, Verdict.OK);
            }
        }
        return sent;
    }

    /** Guards cold workers in an upgrade: two processes of one node send them no more than the one would. */
    @Test
    void twoProcessesOfOneNodeSendAColdWorkerWhatOneWould() {
        Settings s = Host.settings(Host.clazz(Effect.READ_LIKE, Group.ALL), true, 4);
        Settings one = new Settings(
                4,
                0,
                0,
                true,
                true,
                true,
                1000,
                true,
                2,
                0.1,
                0,
                s.classes(),
                List.of(),
                s.permissions(),
                new Rules(1000, 10000, 0.3, 9000, 1, 1500, 8)); // falls soon
        int alone = sentToACold(one), each = sentToACold(one.shared());
        assertTrue(alone > 6 && each > 0 && 2 * each <= alone * 1.3, "twice " + each + ", alone " + alone);
    }

    /** Guards what was learnt: a worker that is avoided stays so over a change. */
    @Test
    void whatIsKnownOfWorkersSurvivesAndClassesOnlyCome() {
        Host h = host(settings(Effect.READ_LIKE, 4));
        String down = h.take(1, 100).tries.get(0).worker;
        h.mute.add(down);
        h.settle(1, Verdict.NO_CONNECTION);
        int avoided = h.node.avoided();
        assertTrue(avoided >= 1);
        ClassSpec one = h.set.classes().get(0);
        h.change(h.set.with(List.of(one, Host.clazz(Effect.UNSAFE, Group.ALL))));
        assertEquals(avoided, h.node.avoided());
        Host.Call c = h.take(2, 1, 100, 0);
        h.settle(2, Verdict.ERROR);
        h.pass(1000);
        assertEquals("failed", c.end, "the new class has its own effect");
        Settings fewer = settings(Effect.UNSAFE, 1);
        assertThrows(IllegalArgumentException.class, () -> h.node.settings(h.us(), fewer));
    }
}
