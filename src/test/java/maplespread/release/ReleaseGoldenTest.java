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
import maplespread.release.FleetView.Member;
import maplespread.release.FleetView.Role;
import maplespread.release.FleetView.ServiceLevel;
import maplespread.release.FleetView.Status;
import maplespread.release.ReleaseRejectedException.Reason;
import maplespread.release.RolloutState.Halt;
import maplespread.release.RolloutState.KnownMember;
import maplespread.release.RolloutState.LogEntry;
import maplespread.release.RolloutState.Phase;
import maplespread.release.RolloutState.PlannedOutage;
import maplespread.release.RolloutState.Release;
import maplespread.release.RolloutState.UnplannedOutage;
import org.junit.jupiter.api.Test;

/** Golden texts of the agreed state and of rejections, and the visible results of commands and the controller. */
class ReleaseGoldenTest {
    private static final String FULL_PLAN = "{'id':'p.1','from':'1','to':'2','dispatchers':true,'workers':true,"
            + "'zones':['z0','z1'],'kinds':['k'],'cells':['c'],'names':['w0','d0'],'first':'dispatchers',"
            + "'order':['zone','kind','cell'],'steps':[1,2],'limits':{'dispatchers_out':2,'workers_out':0.5,"
            + "'workers_out_zone':3,'workers_out_kind':4,'least_capacity':0.25,'quiet_ms':5,'back_ms':6,"
            + "'worse_refused':0.1,'worse_errors':0.2,'worse_wait':0.3}}";

    private final Map<String, Member> fleet = new TreeMap<>();
    private final StringBuilder found = new StringBuilder();
    private ServiceLevel service = new ServiceLevel(0.01, 0, 10, 1_000);
    private RolloutState state = RolloutState.EMPTY;

    // ------------------------------------------------------------ the agreed value

    private static RolloutState everyField(Phase phase) throws ReleaseRejectedException {
        ReleasePlan plan = ReleasePlan.read(FULL_PLAN);
        return new RolloutState(
                Limits.DEFAULT,
                new Release(
                        plan,
                        phase,
                        List.of(List.of("d0"), List.of("w0", "w1")),
                        1,
                        new TreeMap<>(Map.of("w0", 2)),
                        new ServiceLevel(0.5, 0.25, 12.5, 77)),
                new TreeMap<>(Map.of(
                        "d0", new KnownMember("a:1", Role.DISPATCHER, "z0", "", "", 0, 3, true),
                        "w0", new KnownMember("a:2", Role.WORKER, "z1", "k", "c", 9.5, 4, false))),
                new TreeMap<>(Map.of("d0", new PlannedOutage(8, 3, "p.1", "RUNNING"))),
                new TreeMap<>(Map.of("w0", new UnplannedOutage("d1", "seen out"))),
                new Halt(5, "op", "why"),
                11,
                8,
                5,
                6,
                List.of("p.0"),
                List.of(new LogEntry("op", "begin", "p.1")));
    }

    @Test
    void theAgreedValuesTextStays() throws Exception {
        StringBuilder all = new StringBuilder();
        for (Phase phase : Phase.values()) {
            all.append(everyField(phase).toText()).append('\n');
        }
        all.append(RolloutState.EMPTY.toText()).append('\n');
        GoldenFile.assertMatches("release/state.txt", all.toString());
        List<String> kept = Files.readAllLines(Path.of("src/test/resources/golden/release/state.txt"));
        for (Phase phase : Phase.values()) {
            assertEquals(everyField(phase), RolloutState.parse(kept.get(phase.ordinal())));
        }
        assertEquals(RolloutState.EMPTY, RolloutState.parse(kept.get(Phase.values().length)));
        assertEquals(RolloutState.EMPTY, RolloutState.parse(""));
    }

    /** The long form: the length of the JSON, a colon, and the JSON as zlib data in base 64. */
    @Test
    void aLongValueIsReadFromItsPackedForm() {
        String packed = "134:eJwtzUsKwzAMBNCrlFlrES9Siq9SupDtIQ3EDuRLCL57otKNeAPS6ERmDpxm+LMKBurGvzXGPrEs"
                + "FrE3NsMBj+Qg2L/GmSyPcV1Q7/2oQ4Z3TtBN+jt7WYmhFQSq6SlgSUzw78/9buwM9QJrviod";
        RolloutState read = RolloutState.parse(packed);
        assertEquals(11, read.stabilityVersion());
        assertEquals(Map.of("w0", new UnplannedOutage("d1", "seen out")), read.unplannedOutages());
        TreeMap<String, UnplannedOutage> many = new TreeMap<>();
        for (int i = 0; i < 400; i++) {
            many.put("member " + i, new UnplannedOutage("d1", "seen out by the instance " + i));
        }
        RolloutState large = new RolloutState(null, null, null, null, many, null, 1, 2, 3, 4, null, null);
        assertEquals("24679", large.toText().substring(0, large.toText().indexOf(':')));
        assertEquals(large, RolloutState.parse(large.toText()));
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
            line(reason.name(), new ReleaseRejectedException(reason, "wrong").getMessage());
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
                ReleasePlan.read(plan.replace('\'', '"'));
                line("plan " + plan, "read");
            } catch (ReleaseRejectedException e) {
                String wrong = e.problem().replaceAll(" \\(com.google.gson.*", ""); // whose class loaders may differ
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
    private static String changes(RolloutState before, RolloutState after) {
        List<String> all = new ArrayList<>();
        changes("", JsonParser.parseString(before.toText()), JsonParser.parseString(after.toText()), all);
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

    private void applied(String what, ReleaseCommand command) {
        try {
            RolloutState next = RolloutState.parse(command.apply(state).toText());
            line(what, changes(state, next));
            state = next;
        } catch (ReleaseRejectedException e) {
            line(what, "refused " + e.reason() + ": " + e.problem());
        }
    }

    private void member(String id, long run, String version, Status status, double capacity, boolean warm) {
        Role role = id.startsWith("d") ? Role.DISPATCHER : Role.WORKER;
        String zone = "z" + id.charAt(1);
        fleet.put(id, new Member(id, "at-" + id, role, zone, "k", "c", run, version, status, capacity, warm));
    }

    private void fleet(int dispatchers, int workers) {
        fleet.clear();
        state = RolloutState.EMPTY;
        for (int i = 0; i < dispatchers; i++) {
            member("d" + i, 1, "1", Status.SERVING, 0, true);
        }
        for (int i = 0; i < workers; i++) {
            member("w" + i, 1, "1", Status.SERVING, 10, true);
        }
    }

    private FleetView view() {
        return new FleetView(new ArrayList<>(fleet.values()), service);
    }

    private static ReleasePlan plan(String more) throws ReleaseRejectedException {
        return ReleasePlan.read("{id:'r',from:'1',to:'2',workers:true,dispatchers:true" + more + "}");
    }

    private void leave(String id) {
        applied("leave " + id, InstanceCommands.grantOutage("d0", id, state.stabilityVersion(), view()));
    }

    private void back(String id, long run, String version) {
        member(id, run, version, Status.SERVING, fleet.get(id).capacity(), true);
        applied(
                "back " + id,
                InstanceCommands.confirmReturn(
                        "d0", state.plannedOutages().get(id).number(), fleet.get(id)));
    }

    private void drain(String what, String id) {
        applied(what + " drain " + id, now -> {
            DrainPermission.require(now, id);
            return now;
        });
    }

    private static Limits limits(double dispatchers, double workers, double least) {
        return new Limits(dispatchers, workers, Limits.ANY, Limits.ANY, least, 1_000, 20_000, 0.05, 0.02, 0.5);
    }

    @Test
    void commandsDoAndRefuseTheSame() throws Exception {
        fleet(2, 3);
        applied("begin without limits", OperatorCommands.begin("op", plan(""), view()));
        applied("limits", OperatorCommands.setLimits("op", limits(1, 1, 0.5)));
        applied("limits again", OperatorCommands.setLimits("op", limits(1, 1, 0.5)));
        drain("limits only:", "d0");
        applied("finish without one", InstanceCommands.finish("d0", view()));
        applied("roll back without one", OperatorCommands.rollBack("op", "x", state.controlVersion()));
        applied("abandon without one", OperatorCommands.abandon("op", "x", state.controlVersion()));
        applied("leave without one", InstanceCommands.grantOutage("d0", "w0", state.stabilityVersion(), view()));
        applied("unknown name", OperatorCommands.begin("op", plan(",names:['x']"), view()));
        applied("nobody named", OperatorCommands.begin("op", plan(",zones:['x']"), view()));
        applied("too small a limit", OperatorCommands.begin("op", plan(",limits:{dispatchers_out:0}"), view()));
        applied("too large a capacity", OperatorCommands.begin("op", plan(",limits:{least_capacity:0.9}"), view()));
        applied("halt", OperatorCommands.halt("op", "stop"));
        applied("begin halted", OperatorCommands.begin("op", plan(""), view()));
        applied("go on, late", OperatorCommands.resume("op", "x", state.controlVersion() - 1));
        applied("go on", OperatorCommands.resume("op", "x", state.controlVersion()));
        applied("go on again", OperatorCommands.resume("op", "x", state.controlVersion()));
        applied("begin", OperatorCommands.begin("op", plan(""), view()));
        applied("begin again", OperatorCommands.begin("op", plan(""), view()));
        applied("begin another", OperatorCommands.begin("op", plan(",steps:[2]"), view()));
        drain("no leave:", "d0");
        applied(
                "leave by hand",
                OperatorCommands.grantManualOutage("op", "w0", state.stabilityVersion(), view(), "disk"));
        applied("not due", InstanceCommands.grantOutage("d0", "d0", state.stabilityVersion(), view()));
        applied("not quiet", InstanceCommands.grantOutage("d0", "w0", state.stabilityVersion() - 1, view()));
        member("w0", 1, "1", Status.DOWN, 10, true);
        leave("w0");
        member("w0", 2, "2", Status.SERVING, 10, true);
        leave("w0");
        member("w0", 1, "1", Status.SERVING, 10, true);
        applied("seen out", FaultCommands.recordObservations("d0", state.stabilityVersion(), List.of("w1"), List.of()));
        leave("w0");
        applied(
                "seen serving",
                FaultCommands.recordObservations("d0", state.stabilityVersion(), List.of(), List.of(fleet.get("w1"))));
        member("w1", 1, "1", Status.SERVING, 1, false);
        leave("w0");
        member("w1", 1, "1", Status.SERVING, 10, true);
        applied(
                "few electors",
                InstanceCommands.grantOutage(
                        "d0", "w0", state.stabilityVersion(), view().withElectors(List.of("w0", "d0"))));
        leave("w0");
        applied("leave again", OperatorCommands.grantManualOutage("op", "w0", state.stabilityVersion(), view(), ""));
        leave("w1");
        applied("finish early", InstanceCommands.finish("d0", view()));
        for (Status status : Status.values()) {
            member("w0", 1, "1", status, 10, true);
            applied("back " + status, InstanceCommands.confirmReturn("d0", 1, fleet.get("w0")));
        }
        back("w0", 2, "1");
        leave("w0");
        back("w0", 3, "1");
        leave("w0");
        back("w0", 4, "1");
        drain("halted:", "w1");
        leave("w0");
        applied("finish halted", InstanceCommands.finish("d0", view()));
        applied("halts by itself, late", FaultCommands.haltAutomatically("d1", "x", state.controlVersion()));
        applied("go on after three", OperatorCommands.resume("op", "y", state.controlVersion()));
        applied("halts by itself", FaultCommands.haltAutomatically("d1", "errors", state.controlVersion()));
        applied("go on after that", OperatorCommands.resume("op", "y", state.controlVersion()));
        leave("w0");
        applied(
                "given back",
                InstanceCommands.relinquishOutage(
                        "d0", state.plannedOutages().get("w0").number()));
        applied("given back again", InstanceCommands.relinquishOutage("d0", 99));
        leave("w0");
        back("w0", 5, "2");
        leave("w1");
        applied("roll back", OperatorCommands.rollBack("op", "bad", state.controlVersion()));
        drain("another way:", "w1");
        applied("halt on the way", OperatorCommands.halt("op", "wait"));
        drain("halted:", "w1");
        applied("abandon", OperatorCommands.abandon("op", "enough", state.controlVersion()));
        applied("gone", OperatorCommands.removeMember("op", "w1"));
        applied("gone again", OperatorCommands.removeMember("op", "w1"));
        applied("force, no word", OperatorCommands.forceDrain("op", "d0", " "));
        applied("force", OperatorCommands.forceDrain("op", "d0", "fire"));
        fleet.remove("w1");
        applied("finish", InstanceCommands.finish("d0", view()));
        applied("name used", OperatorCommands.begin("op", plan(""), view()));
        applied("beat", InstanceCommands.recordHeartbeat(state.heartbeats()));
        applied("beat late", InstanceCommands.recordHeartbeat(state.heartbeats() - 1));
        applied("no limits", OperatorCommands.setLimits("op", null));
        GoldenFile.assertMatches("release/commands.txt", found.toString());
    }

    @Test
    void membersComeAndAreReplacedTheSame() throws Exception {
        fleet(1, 2);
        applied("limits", OperatorCommands.setLimits("op", limits(1, 1, 0)));
        applied("members", InstanceCommands.updateMembers("d0", state.stabilityVersion(), fleet.values()));
        applied("by hand", OperatorCommands.grantManualOutage("op", "w0", state.stabilityVersion(), view(), "disk"));
        drain("by hand:", "w0");
        applied("begin", OperatorCommands.begin("op", plan(",steps:[9]"), view()));
        member("w9", 1, "1", Status.SERVING, 10, true);
        applied("not told yet", InstanceCommands.finish("d0", view()));
        applied("one more", InstanceCommands.updateMembers("d0", state.stabilityVersion(), List.of(fleet.get("w9"))));
        applied("late", InstanceCommands.updateMembers("d0", state.stabilityVersion() - 1, List.of(fleet.get("w9"))));
        Member other = new Member("w7", "at-w0", Role.WORKER, "z7", "k7", "c7", 6, "2", Status.SERVING, 12, true);
        applied("replaced", InstanceCommands.updateMembers("d0", state.stabilityVersion(), List.of(other)));
        applied("back", InstanceCommands.confirmReturn("d0", 1, other));
        applied(
                "an older sight",
                InstanceCommands.updateMembers("d0", state.stabilityVersion(), List.of(fleet.get("w0"))));
        fleet.remove("w0");
        fleet.put("w7", other);
        for (String id : List.of("w1", "w9", "d0")) {
            member(id, 2, "2", Status.SERVING, fleet.get(id).capacity(), true);
        }
        applied(
                "in place",
                FaultCommands.recordObservations("d0", state.stabilityVersion(), List.of(), fleet.values()));
        applied("done", InstanceCommands.finish("d0", view()));
        member("w1", 2, "2", Status.SERVING, 5, true);
        applied("slower", InstanceCommands.updateMembers("d0", state.stabilityVersion(), List.of(fleet.get("w1"))));
        applied("back again", OperatorCommands.rollBack("op", "late", state.controlVersion()));
        leave("d0");
        GoldenFile.assertMatches("release/members.txt", found.toString());
    }

    // ------------------------------------------------------------ the controller

    private static String told(RolloutAction order) {
        return (order instanceof RolloutAction.Drain ? "drain " : "recall ") + order.member() + " run "
                + order.incarnation() + " leave " + order.outageNumber();
    }

    /** Evaluates every 100 ms and applies the proposals; writes a line for each change since the last evaluation. */
    private void drive(RolloutController driver, long from, long to, boolean majority) throws ReleaseRejectedException {
        String last = "";
        for (long t = from; t <= to; t += 100) {
            RolloutController.Decision next = driver.evaluate(t, state, view(), majority);
            RolloutState before = state;
            for (ReleaseCommand command : next.proposals()) {
                try {
                    state = command.apply(state);
                } catch (ReleaseRejectedException e) {
                    line("  refused", e.reason().name());
                }
            }
            String now = "waits '" + next.waitingFor() + "' again in " + (next.nextCheckAtMs() - t) + " ms "
                    + next.actions().stream().map(ReleaseGoldenTest::told).toList() + " ";
            if (!now.equals(last) || !before.equals(state)) {
                line("at " + t, now + changes(before, state));
            }
            last = now;
        }
    }

    @Test
    void theControllerProposesTheSame() throws Exception {
        fleet(2, 2);
        RolloutController driver = new RolloutController(RolloutController.Settings.DEFAULT, "d0", 0);
        drive(driver, 0, 1_500, true);
        applied("limits", OperatorCommands.setLimits("op", limits(1, 1, 0.4)));
        applied("begin", OperatorCommands.begin("op", plan(""), view()));
        drive(driver, 1_600, 3_500, true);
        member("w0", 1, "1", Status.DRAINING, 10, true);
        drive(driver, 3_600, 4_000, true);
        member("w0", 2, "2", Status.SERVING, 10, true);
        drive(driver, 4_100, 5_600, true);
        applied("halt", OperatorCommands.halt("op", "stop"));
        drive(driver, 5_700, 6_000, true);
        driver.drainCancelled(state.lastOutageNumber());
        drive(driver, 6_100, 6_200, true);
        applied("go on", OperatorCommands.resume("op", "fine", state.controlVersion()));
        drive(driver, 6_300, 6_500, true);
        service = new ServiceLevel(0.2, 0, 10, 1_000);
        drive(driver, 6_600, 6_700, true);
        applied("go on", OperatorCommands.resume("op", "fine", state.controlVersion()));
        drive(driver, 6_800, 6_900, true);
        service = new ServiceLevel(0.2, 0.5, 10, 1_000);
        drive(driver, 7_000, 7_000, true);
        applied("go on", OperatorCommands.resume("op", "fine", state.controlVersion()));
        drive(driver, 7_100, 7_100, true);
        service = new ServiceLevel(0.2, 0.5, 100, 1_000);
        drive(driver, 7_200, 7_300, true);
        applied("go on", OperatorCommands.resume("op", "fine", state.controlVersion()));
        drive(driver, 7_400, 18_000, false);
        drive(driver, 18_100, 18_200, true);
        applied("go on", OperatorCommands.resume("op", "fine", state.controlVersion()));
        member("w0", 2, "2", Status.DOWN, 10, true);
        member("w1", 1, "1", Status.UNKNOWN, 10, true);
        drive(driver, 18_300, 21_000, true);
        member("w0", 2, "2", Status.SERVING, 10, true);
        member("w1", 1, "1", Status.SERVING, 10, true);
        applied("go on", OperatorCommands.resume("op", "fine", state.controlVersion()));
        drive(driver, 21_100, 25_000, true);
        member("w1", 1, "1", Status.DOWN, 10, true);
        drive(driver, 25_100, 46_000, true);
        applied("roll back", OperatorCommands.rollBack("op", "bad", state.controlVersion()));
        member("w1", 2, "1", Status.SERVING, 10, true);
        drive(driver, 46_100, 49_000, true);
        member("w0", 3, "1", Status.SERVING, 20, true);
        member("w5", 3, "1", Status.SERVING, 20, true);
        drive(driver, 49_100, 54_000, true);
        GoldenFile.assertMatches("release/controller.txt", found.toString());
    }
}
