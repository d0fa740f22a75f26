package maplespread.release;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import maplespread.release.ReleaseRefused.Reason;
import maplespread.release.State.Accident;
import maplespread.release.State.Act;
import maplespread.release.State.Halt;
import maplespread.release.State.Known;
import maplespread.release.State.Leave;
import maplespread.release.State.Phase;
import maplespread.release.State.Release;
import maplespread.release.View.Member;
import maplespread.release.View.Role;
import maplespread.release.View.Service;
import maplespread.release.View.Status;
import org.junit.jupiter.api.Test;

/** The agreed state's text, the texts of refusals, and what commands and the controller do, as others see them. */
class ReleaseGoldenTest {
    private static final String FULL_PLAN = "{'id':'p.1','from':'1','to':'2','dispatchers':true,'workers':true,"
            + "'zones':['z0','z1'],'kinds':['k'],'cells':['c'],'names':['w0','d0'],'first':'dispatchers',"
            + "'order':['zone','kind','cell'],'steps':[1,2],'limits':{'dispatchers_out':2,'workers_out':0.5,"
            + "'workers_out_zone':3,'workers_out_kind':4,'least_capacity':0.25,'quiet_ms':5,'back_ms':6,"
            + "'worse_refused':0.1,'worse_errors':0.2,'worse_wait':0.3}}";

    private final Map<String, Member> fleet = new TreeMap<>();
    private final StringBuilder found = new StringBuilder();
    private Service service = new Service(0.01, 0, 10, 1_000);
    private State state = State.EMPTY;

    // ------------------------------------------------------------ the agreed value

    private static State everyField(Phase phase) throws ReleaseRefused {
        Plan plan = Plan.read(FULL_PLAN);
        return new State(
                Limits.DEFAULT,
                new Release(
                        plan,
                        phase,
                        List.of(List.of("d0"), List.of("w0", "w1")),
                        1,
                        new TreeMap<>(Map.of("w0", 2)),
                        new Service(0.5, 0.25, 12.5, 77)),
                new TreeMap<>(Map.of(
                        "d0", new Known("a:1", Role.DISPATCHER, "z0", "", "", 0, 3, true),
                        "w0", new Known("a:2", Role.WORKER, "z1", "k", "c", 9.5, 4, false))),
                new TreeMap<>(Map.of("d0", new Leave(8, 3, "p.1", "RUNNING"))),
                new TreeMap<>(Map.of("w0", new Accident("d1", "seen out"))),
                new Halt(5, "op", "why"),
                11,
                8,
                5,
                6,
                List.of("p.0"),
                List.of(new Act("op", "begin", "p.1")));
    }

    @Test
    void theAgreedValuesTextStays() throws Exception {
        StringBuilder all = new StringBuilder();
        for (Phase phase : Phase.values()) {
            all.append(everyField(phase).text()).append('\n');
        }
        all.append(State.EMPTY.text()).append('\n');
        GoldenFile.assertMatches("release/state.txt", all.toString());
        List<String> kept = Files.readAllLines(Path.of("src/test/resources/golden/release/state.txt"));
        for (Phase phase : Phase.values()) {
            assertEquals(everyField(phase), State.read(kept.get(phase.ordinal())));
        }
        assertEquals(State.EMPTY, State.read(kept.get(Phase.values().length)));
        assertEquals(State.EMPTY, State.read(""));
    }

    /** The long form: the length of the JSON, a colon, and the JSON as zlib data in base 64. */
    @Test
    void aLongValueIsReadFromItsPackedForm() {
        String packed = "134:eJwtzUsKwzAMBNCrlFlrES9Siq9SupDtIQ3EDuRLCL57otKNeAPS6ERmDpxm+LMKBurGvzXGPrEs"
                + "FrE3NsMBj+Qg2L/GmSyPcV1Q7/2oQ4Z3TtBN+jt7WYmhFQSq6SlgSUzw78/9buwM9QJrviod";
        State read = State.read(packed);
        assertEquals(11, read.calm());
        assertEquals(Map.of("w0", new Accident("d1", "seen out")), read.accidents());
        TreeMap<String, Accident> many = new TreeMap<>();
        for (int i = 0; i < 400; i++) {
            many.put("member " + i, new Accident("d1", "seen out by the instance " + i));
        }
        State large = new State(null, null, null, null, many, null, 1, 2, 3, 4, null, null);
        assertEquals("24679", large.text().substring(0, large.text().indexOf(':')));
        assertEquals(large, State.read(large.text()));
    }

    /** A line of the log shows them. */
    @Test
    void limitsAreShownTheSame() {
        assertEquals(
                "Limits[dispatchersOut=1.0, workersOut=1.0, workersOutZone=1.0E9, workersOutKind=1.0E9, "
                        + "leastCapacity=0.7, quietMs=2000, backMs=120000, worseRefused=0.05, worseErrors=0.02, "
                        + "worseWait=0.5]",
                Limits.DEFAULT.toString());
    }

    // ------------------------------------------------------------ texts of refusals

    @Test
    void refusalsAreToldInTheSameWords() throws Exception {
        for (Reason reason : Reason.values()) {
            line(reason.name(), new ReleaseRefused(reason, "wrong").getMessage());
        }
        for (String plan : List.of(
                "",
                "[",
                "[]",
                "{'id':'a b'}",
                "{'id':'a'}",
                "{'id':'a','workers':true,'first':'all'}",
                "{'id':'a','workers':true,'order':['size']}",
                "{'id':'a','workers':true,'steps':[]}",
                "{'id':'a','workers':true,'steps':[0]}",
                "{'id':'a','workers':true,'steps':['b']}",
                "{'id':'a','workers':true,'limit':1}",
                "{'id':'a','workers':true,'limits':{'out':1}}",
                "{'id':'a','workers':true,'limits':{'least_capacity':2}}",
                "{'id':'a','workers':true,'limits':{'quiet_ms':-1}}",
                "{'id':'a','workers':true,'zones':'z'}")) {
            try {
                Plan.read(plan.replace('\'', '"'));
                line("plan " + plan, "read");
            } catch (ReleaseRefused e) {
                String wrong = e.wrong().replaceAll(" \\(com.google.gson.*", ""); // whose class loaders may differ
                line("plan " + plan, e.reason() + ": " + wrong);
            }
        }
        GoldenFile.assertMatches("release/refusals.txt", found.toString());
    }

    // ------------------------------------------------------------ commands

    private void line(String what, String came) {
        found.append(what).append(" -> ").append(came).append('\n');
    }

    /** What differs in the texts of two states, by the paths of its members. */
    private static String changes(State before, State after) {
        List<String> all = new ArrayList<>();
        changes("", JsonParser.parseString(before.text()), JsonParser.parseString(after.text()), all);
        return all.isEmpty() ? "nothing" : String.join(" ", all);
    }

    private static void changes(String path, JsonElement before, JsonElement after, List<String> all) {
        if (after.equals(before)) {
            return;
        }
        if (before instanceof JsonObject was && after instanceof JsonObject now) {
            Set<String> keys = new TreeSet<>(was.keySet());
            keys.addAll(now.keySet());
            for (String key : keys) {
                if (now.has(key)) {
                    changes(path + "." + key, was.get(key), now.get(key), all);
                } else {
                    all.add(path + "." + key + " removed");
                }
            }
        } else if (path.equals(".log") && after instanceof JsonArray log) {
            all.add(".log+" + log.get(log.size() - 1));
        } else {
            all.add(path + "=" + after);
        }
    }

    private void applied(String what, Command command) {
        try {
            State next = State.read(command.apply(state).text());
            line(what, changes(state, next));
            state = next;
        } catch (ReleaseRefused e) {
            line(what, "refused " + e.reason() + ": " + e.wrong());
        }
    }

    private void member(String id, long run, String version, Status status, double capacity, boolean warm) {
        Role role = id.startsWith("d") ? Role.DISPATCHER : Role.WORKER;
        String zone = "z" + id.charAt(1);
        fleet.put(id, new Member(id, "at-" + id, role, zone, "k", "c", run, version, status, capacity, warm));
    }

    private void fleet(int dispatchers, int workers) {
        fleet.clear();
        state = State.EMPTY;
        for (int i = 0; i < dispatchers; i++) {
            member("d" + i, 1, "1", Status.SERVING, 0, true);
        }
        for (int i = 0; i < workers; i++) {
            member("w" + i, 1, "1", Status.SERVING, 10, true);
        }
    }

    private View view() {
        return new View(new ArrayList<>(fleet.values()), service);
    }

    private static Plan plan(String more) throws ReleaseRefused {
        return Plan.read("{id:'r',from:'1',to:'2',workers:true,dispatchers:true" + more + "}");
    }

    private void leave(String id) {
        applied("leave " + id, Commands.leave("d0", id, state.calm(), view()));
    }

    private void back(String id, long run, String version) {
        member(id, run, version, Status.SERVING, fleet.get(id).capacity(), true);
        applied("back " + id, Commands.back("d0", state.leaves().get(id).number(), fleet.get(id)));
    }

    private void drain(String what, String id) {
        applied(what + " drain " + id, now -> {
            Commands.checkDrain(now, id);
            return now;
        });
    }

    private static Limits limits(double dispatchers, double workers, double least) {
        return new Limits(dispatchers, workers, Limits.ANY, Limits.ANY, least, 1_000, 20_000, 0.05, 0.02, 0.5);
    }

    @Test
    void commandsDoAndRefuseTheSame() throws Exception {
        fleet(2, 3);
        applied("begin without limits", Commands.begin("op", plan(""), view()));
        applied("limits", Commands.limits("op", limits(1, 1, 0.5)));
        applied("limits again", Commands.limits("op", limits(1, 1, 0.5)));
        drain("limits only:", "d0");
        applied("finish without one", Commands.finish("d0", view()));
        applied("roll back without one", Commands.rollBack("op", "x", state.acts()));
        applied("abandon without one", Commands.abandon("op", "x", state.acts()));
        applied("leave without one", Commands.leave("d0", "w0", state.calm(), view()));
        applied("unknown name", Commands.begin("op", plan(",names:['x']"), view()));
        applied("nobody named", Commands.begin("op", plan(",zones:['x']"), view()));
        applied("too small a limit", Commands.begin("op", plan(",limits:{dispatchers_out:0}"), view()));
        applied("too large a capacity", Commands.begin("op", plan(",limits:{least_capacity:0.9}"), view()));
        applied("halt", Commands.halt("op", "stop"));
        applied("begin halted", Commands.begin("op", plan(""), view()));
        applied("go on, late", Commands.goOn("op", "x", state.acts() - 1));
        applied("go on", Commands.goOn("op", "x", state.acts()));
        applied("go on again", Commands.goOn("op", "x", state.acts()));
        applied("begin", Commands.begin("op", plan(""), view()));
        applied("begin again", Commands.begin("op", plan(""), view()));
        applied("begin another", Commands.begin("op", plan(",steps:[2]"), view()));
        drain("no leave:", "d0");
        applied("leave by hand", Commands.leaveByHand("op", "w0", state.calm(), view(), "disk"));
        applied("not due", Commands.leave("d0", "d0", state.calm(), view()));
        applied("not quiet", Commands.leave("d0", "w0", state.calm() - 1, view()));
        member("w0", 1, "1", Status.DOWN, 10, true);
        leave("w0");
        member("w0", 2, "2", Status.SERVING, 10, true);
        leave("w0");
        member("w0", 1, "1", Status.SERVING, 10, true);
        applied("seen out", Commands.observe("d0", state.calm(), List.of("w1"), List.of()));
        leave("w0");
        applied("seen serving", Commands.observe("d0", state.calm(), List.of(), List.of(fleet.get("w1"))));
        member("w1", 1, "1", Status.SERVING, 1, false);
        leave("w0");
        member("w1", 1, "1", Status.SERVING, 10, true);
        applied("few electors", Commands.leave("d0", "w0", state.calm(), view().among(List.of("w0", "d0"))));
        leave("w0");
        applied("leave again", Commands.leaveByHand("op", "w0", state.calm(), view(), ""));
        leave("w1");
        applied("finish early", Commands.finish("d0", view()));
        for (Status status : Status.values()) {
            member("w0", 1, "1", status, 10, true);
            applied("back " + status, Commands.back("d0", 1, fleet.get("w0")));
        }
        back("w0", 2, "1");
        leave("w0");
        back("w0", 3, "1");
        leave("w0");
        back("w0", 4, "1");
        drain("halted:", "w1");
        leave("w0");
        applied("finish halted", Commands.finish("d0", view()));
        applied("halts by itself, late", Commands.haltByItself("d1", "x", state.acts()));
        applied("go on after three", Commands.goOn("op", "y", state.acts()));
        applied("halts by itself", Commands.haltByItself("d1", "errors", state.acts()));
        applied("go on after that", Commands.goOn("op", "y", state.acts()));
        leave("w0");
        applied("given back", Commands.returned("d0", state.leaves().get("w0").number()));
        applied("given back again", Commands.returned("d0", 99));
        leave("w0");
        back("w0", 5, "2");
        leave("w1");
        applied("roll back", Commands.rollBack("op", "bad", state.acts()));
        drain("another way:", "w1");
        applied("halt on the way", Commands.halt("op", "wait"));
        drain("halted:", "w1");
        applied("abandon", Commands.abandon("op", "enough", state.acts()));
        applied("gone", Commands.gone("op", "w1"));
        applied("gone again", Commands.gone("op", "w1"));
        applied("force, no word", Commands.force("op", "d0", " "));
        applied("force", Commands.force("op", "d0", "fire"));
        fleet.remove("w1");
        applied("finish", Commands.finish("d0", view()));
        applied("name used", Commands.begin("op", plan(""), view()));
        applied("beat", Commands.beat(state.beats()));
        applied("beat late", Commands.beat(state.beats() - 1));
        applied("no limits", Commands.limits("op", null));
        GoldenFile.assertMatches("release/commands.txt", found.toString());
    }

    @Test
    void membersComeAndAreReplacedTheSame() throws Exception {
        fleet(1, 2);
        applied("limits", Commands.limits("op", limits(1, 1, 0)));
        applied("members", Commands.changeMembers("d0", state.calm(), fleet.values()));
        applied("by hand", Commands.leaveByHand("op", "w0", state.calm(), view(), "disk"));
        drain("by hand:", "w0");
        applied("begin", Commands.begin("op", plan(",steps:[9]"), view()));
        member("w9", 1, "1", Status.SERVING, 10, true);
        applied("not told yet", Commands.finish("d0", view()));
        applied("one more", Commands.changeMembers("d0", state.calm(), List.of(fleet.get("w9"))));
        applied("late", Commands.changeMembers("d0", state.calm() - 1, List.of(fleet.get("w9"))));
        Member other = new Member("w7", "at-w0", Role.WORKER, "z7", "k7", "c7", 6, "2", Status.SERVING, 12, true);
        applied("replaced", Commands.changeMembers("d0", state.calm(), List.of(other)));
        applied("back", Commands.back("d0", 1, other));
        applied("an older sight", Commands.changeMembers("d0", state.calm(), List.of(fleet.get("w0"))));
        fleet.remove("w0");
        fleet.put("w7", other);
        for (String id : List.of("w1", "w9", "d0")) {
            member(id, 2, "2", Status.SERVING, fleet.get(id).capacity(), true);
        }
        applied("in place", Commands.observe("d0", state.calm(), List.of(), fleet.values()));
        applied("done", Commands.finish("d0", view()));
        member("w1", 2, "2", Status.SERVING, 5, true);
        applied("slower", Commands.changeMembers("d0", state.calm(), List.of(fleet.get("w1"))));
        applied("back again", Commands.rollBack("op", "late", state.acts()));
        leave("d0");
        GoldenFile.assertMatches("release/members.txt", found.toString());
    }

    // ------------------------------------------------------------ the controller

    private static String told(Order order) {
        return (order instanceof Order.Drain ? "drain " : "recall ") + order.member() + " run " + order.run()
                + " leave " + order.leave();
    }

    /** Looks every 100 ms and decides what is proposed; a line wherever something differs from the look before. */
    private void drive(Driver driver, long from, long to, boolean majority) throws ReleaseRefused {
        String last = "";
        for (long t = from; t <= to; t += 100) {
            Driver.Next next = driver.look(t, state, view(), majority);
            State before = state;
            for (Command command : next.propose()) {
                try {
                    state = command.apply(state);
                } catch (ReleaseRefused e) {
                    line("  refused", e.reason().name());
                }
            }
            String now = "waits '" + next.waits() + "' again in " + (next.again() - t) + " ms "
                    + next.orders().stream().map(ReleaseGoldenTest::told).toList() + " ";
            if (!now.equals(last) || !before.equals(state)) {
                line("at " + t, now + changes(before, state));
            }
            last = now;
        }
    }

    @Test
    void theControllerProposesTheSame() throws Exception {
        fleet(2, 2);
        Driver driver = new Driver(Driver.Settings.DEFAULT, "d0", 0);
        drive(driver, 0, 1_500, true);
        applied("limits", Commands.limits("op", limits(1, 1, 0.4)));
        applied("begin", Commands.begin("op", plan(""), view()));
        drive(driver, 1_600, 3_500, true);
        member("w0", 1, "1", Status.DRAINING, 10, true);
        drive(driver, 3_600, 4_000, true);
        member("w0", 2, "2", Status.SERVING, 10, true);
        drive(driver, 4_100, 5_600, true);
        applied("halt", Commands.halt("op", "stop"));
        drive(driver, 5_700, 6_000, true);
        driver.recalled(state.grants());
        drive(driver, 6_100, 6_200, true);
        applied("go on", Commands.goOn("op", "fine", state.acts()));
        drive(driver, 6_300, 6_500, true);
        service = new Service(0.2, 0, 10, 1_000);
        drive(driver, 6_600, 6_700, true);
        applied("go on", Commands.goOn("op", "fine", state.acts()));
        drive(driver, 6_800, 6_900, true);
        service = new Service(0.2, 0.5, 10, 1_000);
        drive(driver, 7_000, 7_000, true);
        applied("go on", Commands.goOn("op", "fine", state.acts()));
        drive(driver, 7_100, 7_100, true);
        service = new Service(0.2, 0.5, 100, 1_000);
        drive(driver, 7_200, 7_300, true);
        applied("go on", Commands.goOn("op", "fine", state.acts()));
        drive(driver, 7_400, 18_000, false);
        drive(driver, 18_100, 18_200, true);
        applied("go on", Commands.goOn("op", "fine", state.acts()));
        member("w0", 2, "2", Status.DOWN, 10, true);
        member("w1", 1, "1", Status.UNKNOWN, 10, true);
        drive(driver, 18_300, 21_000, true);
        member("w0", 2, "2", Status.SERVING, 10, true);
        member("w1", 1, "1", Status.SERVING, 10, true);
        applied("go on", Commands.goOn("op", "fine", state.acts()));
        drive(driver, 21_100, 25_000, true);
        member("w1", 1, "1", Status.DOWN, 10, true);
        drive(driver, 25_100, 46_000, true);
        applied("roll back", Commands.rollBack("op", "bad", state.acts()));
        member("w1", 2, "1", Status.SERVING, 10, true);
        drive(driver, 46_100, 49_000, true);
        member("w0", 3, "1", Status.SERVING, 20, true);
        member("w5", 3, "1", Status.SERVING, 20, true);
        drive(driver, 49_100, 54_000, true);
        GoldenFile.assertMatches("release/controller.txt", found.toString());
    }
}
