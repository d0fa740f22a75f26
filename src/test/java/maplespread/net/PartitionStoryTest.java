package maplespread.net;

import static maplespread.net.Loopback.until;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import maplespread.net.GroupStory.Said;
import maplespread.net.Loopback.Call;
import maplespread.net.Loopback.Peer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Three dispatchers that keep order, and a worker that ends jobs when the story says so. */
class PartitionStoryTest {
    private static final String RULES = "{'rules':[{'when':{'class':'order','entity':{'prefix':'s'}},"
            + "'order':'by_key_stop','runs_ms':300},{'when':{'class':'order'},'order':'by_key','runs_ms':300},"
            + "{}]}";

    @TempDir
    Path dir;

    private Peer worker;
    private GroupStory fleet;
    private int ids;

    @BeforeEach
    void begin() throws Exception {
        worker = new Peer(call -> {
            if (call.head.get("X-Lane").equals("page")) {
                call.open();
                call.done("r");
            }
        });
        // Long leases: the story is of order, not of how fast the machine is.
        fleet = new GroupStory(
                dir,
                3,
                "'partition':{'slots':32,'lease_ms':2000,'ask_ms':100," + "'silent_ms':1500,'gone_ms':2000,'table':"
                        + RULES + "}",
                worker);
        until(
                "each slot is open at one, by a table that has settled",
                () -> served(0, 1, 2) && shown(1).get("may_change").getAsBoolean());
    }

    @AfterEach
    void end() throws Exception {
        fleet.close();
    }

    private JsonObject shown(int i) {
        return fleet.shown(i, "/admin/partition");
    }

    /** Whether these own all slots and may send for them. */
    private boolean served(int... who) {
        List<Integer> open = new ArrayList<>();
        for (int i : who) {
            JsonObject now = shown(i);
            for (JsonElement slot : now.has("slots") ? now.getAsJsonArray("open") : List.<JsonElement>of()) {
                open.add(slot.getAsInt());
            }
        }
        return open.size() == 32 && new TreeSet<>(open).size() == 32;
    }

    private int owner(String entity) {
        JsonObject said = fleet.shown(0, "/admin/partition?key=entity%3D" + entity);
        return said.get("owner").getAsString().charAt(1) - '0';
    }

    private CompletableFuture<Said> send(int at, String lane, String entity, String more) {
        String job = Loopback.withKey(Loopback.job(lane, "t" + ++ids, 60_000), "k" + ids)
                .replace("\r\nX-Lane", "\r\nX-Entity: " + entity + more + "\r\nX-Lane");
        CompletableFuture<Said> said = new CompletableFuture<>();
        Loopback.daemon(
                () -> { // not of a pool, which may be busy
                    try {
                        said.complete(fleet.ask(at, job));
                    } catch (IOException | RuntimeException | Error e) {
                        said.completeExceptionally(e);
                    }
                });
        return said;
    }

    private static String reason(Said said) {
        return said.status() + " " + said.head().get("X-Order");
    }

    @Test
    void jobsOfAKeyGoOutOneByOneWhicheverDispatcherTheyComeTo() throws Exception {
        int owner = owner("e1");
        List<CompletableFuture<Said>> said = new ArrayList<>(List.of(send(0, "order", "e1", "")));
        Call first = worker.next();
        for (int i = 1; i < 5; i++) {
            said.add(send(i % 3, "order", "e1", ""));
            int waiting = i;
            until("it is taken", () -> shown(owner).get("waiting").getAsInt() == waiting);
        }
        CompletableFuture<Said> other = send(0, "order", "e2", "");
        Call beside = worker.next(); // another key does not wait
        assertEquals("e1 e2", first.head.get("X-Entity") + " " + beside.head.get("X-Entity"));
        beside.open();
        beside.done("b");
        assertEquals("b", other.get().text());
        for (int i = 0; i < 5; i++) {
            Call call = i == 0 ? first : worker.next();
            assertEquals("t" + (i + 1), call.id());
            assertTrue(worker.calls.isEmpty(), "one at a time");
            call.open();
            call.done("r" + i);
            Said answer = said.get(i).get();
            assertEquals("200 r" + i, answer.status() + " " + answer.text());
        }
    }

    /** One whose slot is not here is handed on once; one that comes handed on is not, and may come again. */
    @Test
    void aJobIsHandedOnOnceAndComesBackUnchanged() throws Exception {
        int owner = owner("e1");
        int other = (owner + 1) % 3;
        String id = "t" + (ids + 1);
        Said moved = send(other, "order", "e1", "\r\nX-Handed-By: x").get();
        assertEquals("503 moved", reason(moved));
        assertEquals("0.100", moved.head().get("Retry-After"));
        ids--; // the same request, so it was not taken
        CompletableFuture<Said> said = send(other, "order", "e1", "");
        Call call = worker.next();
        assertEquals(id, call.id());
        assertEquals(
                "acme e1 order null",
                call.head.get("X-Org") + " " + call.head.get("X-Entity") + " " + call.head.get("X-Lane") + " "
                        + call.head.get("X-Handed-By"));
        call.open();
        call.state("failed", "");
        assertEquals("502 null", reason(said.get()));
        assertEquals(
                "503 moved",
                reason(send(owner, "order", "e1", "\r\nX-Handed-By: x " + Long.MAX_VALUE / 10)
                        .get()),
                "sent by one that knows a later epoch");
        assertEquals("400 null", reason(send(owner, "order", "", "").get()));
        said = send(owner, "order", "e1", "\r\nX-Handed-By: x");
        call = worker.next();
        call.open();
        call.done("r");
        assertEquals("200 null", reason(said.get()));
        assertEquals("200 null", reason(send(other, "page", "e1", "").get()), "no order");
    }

    /** What is not known holds the key; its client is told at once, and others wait until it is over. */
    @Test
    void aJobThatIsLostHoldsItsKeyAndAFailureStopsIt() throws Exception {
        CompletableFuture<Said> said = send(0, "order", "e1", "");
        Call call = worker.next();
        long lostAt = System.nanoTime();
        call.link.close();
        assertEquals("502 in-doubt", reason(said.get()));
        said = send(1, "order", "e1", "");
        call = worker.next();
        assertTrue(System.nanoTime() - lostAt >= 300_000_000, "after what it can run at most");
        call.open();
        call.done("r");
        assertEquals("200 null", reason(said.get()));

        said = send(2, "order", "s9", "");
        call = worker.next();
        CompletableFuture<Said> behind = send(2, "order", "s9", "");
        int owner = owner("s9");
        until("it waits", () -> shown(owner).get("waiting").getAsInt() == 1);
        call.open();
        call.state("failed", "");
        assertEquals("409 stopped", reason(behind.get()));
        assertEquals("502 null", reason(said.get()));
        for (int i = 0; i < 3; i++) {
            assertEquals("[\"entity=s9\"]", shown(owner).get("stopped").toString());
            assertEquals("409 stopped", reason(send(i, "order", "s9", "").get()));
        }
        assertEquals(400, fleet.call(0, "POST /admin/partition/start", "").status());
        Said started = fleet.call(0, "POST /admin/partition/start?key=entity%3Ds9", "");
        assertEquals("200 starts", started.status() + " " + started.text().strip());
        until("all know", () -> shown(owner).getAsJsonArray("stopped").isEmpty());
        said = send(0, "order", "s9", "");
        call = worker.next();
        call.open();
        call.done("r");
        assertEquals("200 null", reason(said.get()));
    }

    private static String said(Path log) {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void signal(Process to, String signal) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + signal, String.valueOf(to.pid()))
                        .start()
                        .waitFor());
    }

    private String table(int at, String rules) {
        Said said = fleet.call(at, "POST /admin/partition/table", rules.replace('\'', '"'));
        return said.status() + " " + said.text();
    }

    /** By the console or by a file that has changed, and never into a table that still settles. */
    @Test
    void anotherTableComesByCallOrByTheFileAndIsCheckedWhole() throws Exception {
        String byTenant = RULES.replace("'order':'by_key',", "'order':'by_key','key':'tenant',");
        assertTrue(table(1, "{'rules':[{'to':'x'}]}").startsWith("409 rule 1: to: x is not known; still"));
        assertTrue(table(1, "{").startsWith("409 table: not JSON"));
        CompletableFuture<Said> said = send(0, "order", "e1", "");
        Call call = worker.next();
        assertTrue(table(1, byTenant).startsWith("200 table of epoch "));
        until(
                "it counts everywhere",
                () -> !shown(0).get("table").equals(shown(2).get("table"))
                        ? false
                        : shown(0).get("table").toString().contains("tenant"));
        assertTrue(table(1, RULES).startsWith("409 the change of epoch "));
        CompletableFuture<Said> next = send(2, "order", "e2", ""); // another key before, now the same
        assertEquals(0, worker.calls.size());
        call.open();
        call.done("r");
        assertEquals("200 null", reason(said.get()), "what was out goes on");
        call = worker.next();
        call.open();
        call.done("r");
        assertEquals("200 null", reason(next.get()));
        StringBuilder many = new StringBuilder("{'rules':[");
        for (int i = 0; i < 1000; i++) {
            many.append("{'name':'of the customer of number ")
                    .append(i)
                    .append("','when':{'class':'order','entity':'e")
                    .append(i)
                    .append("'},'order':'by_key'},");
        }
        fleet.more = fleet.more.replace(RULES, many + "{}]}");
        fleet.servers[0].reload();
        until(
                "the file's table counts, though it is long",
                () -> shown(2).getAsJsonObject("table").getAsJsonArray("rules").size() == 1001);
    }

    /** Guards against jobs that go out unordered after a restart, as the file does not order them, but the table does. */
    @Test
    void aRestartedOneOrdersByTheDecidedTableFromItsFirstRequestOn() throws Exception {
        int owner = owner("e1");
        int restarted = owner == 1 ? 2 : 1;
        CompletableFuture<Said> out = send(owner, "order", "e1", "");
        Call first = worker.next();
        fleet.more = fleet.more.replace(RULES, "{'rules':[{}]}");
        fleet.servers[restarted].stop();
        fleet.beginWithPushedList(restarted);
        CompletableFuture<Said> behind = send(restarted, "order", "e1", "");
        for (int page = 0; page < 5; page++) { // what has no order passes it
            assertEquals("200 null", reason(send(restarted, "page", "e1", "").get()));
            assertEquals("page", worker.next().head.get("X-Lane"), "until what is out has ended");
        }
        first.open();
        first.done("r");
        assertEquals("200 null", reason(out.get()));
        Call second = worker.next();
        second.open();
        second.done("r");
        assertEquals("200 null", reason(behind.get()));
    }

    /** One that ends gives its slots up while it still answers, and what comes there is handed on. */
    @Test
    void whoIsDrainedHandsItsSlotsOver() throws Exception {
        int owner = owner("e1");
        int left = (owner + 1) % 3;
        int other = (owner + 2) % 3;
        CompletableFuture<Said> said = send(owner, "order", "e1", "");
        Call call = worker.next();
        CompletableFuture<Said> behind = send(other, "order", "e1", "");
        until("it waits", () -> shown(owner).get("waiting").getAsInt() == 1);
        assertEquals(200, fleet.call(owner, "POST /admin/quiesce", "").status());
        until(
                "another one owns it",
                () -> !shown(left).getAsJsonArray("members").toString().contains("n" + owner));
        assertTrue(worker.calls.isEmpty(), "until what is out has ended");
        call.open();
        call.done("r");
        assertEquals("200 null", reason(said.get()));
        call = worker.next();
        call.open();
        call.done("r");
        assertEquals("200 null", reason(behind.get()));
        until("the others have all", () -> served(left, other));
        said = send(owner, "order", "e1", "");
        call = worker.next();
        call.open();
        call.done("r");
        assertEquals("200 null", reason(said.get()), "handed on by the drained one");
        assertEquals(200, fleet.call(owner, "POST /admin/resume", "").status());
        until("it has its slots again", () -> owner("e1") == owner && served(0, 1, 2));
    }

    /**
     * The job of an owner that is killed, or frozen until it counts as gone, is in doubt, and no other of its
     * key goes out while it may run. One that wakes sends nothing of what it had.
     */
    @ParameterizedTest
    @ValueSource(strings = {"KILL", "STOP"})
    void anOwnerThatIsLostLeavesItsKeysHeld(String signal) throws Exception {
        Path log = dir.resolve(signal);
        Process victim = fleet.process(dir, log);
        try {
            until("it serves", () -> said(log).contains(" serves on "));
            until(
                    "it has slots, and nobody else's",
                    () -> shown(0).get("slots").toString().contains("n3")
                            && shown(0).getAsJsonObject("leavers").size() == 0);
            int n = 0;
            while (owner("e" + n) != 3) {
                n++;
            }
            CompletableFuture<Said> said = send(0, "order", "e" + n, "");
            Call call = worker.next();
            signal(victim, signal);
            long lostAt = System.nanoTime();
            assertEquals("502 in-doubt", reason(said.get()));
            Call next = null;
            for (int i = 0; next == null; i++) { // refused at once where it would be too late
                said = send(i % 3, "order", "e" + n, "");
                while (!said.isDone() && next == null) {
                    next = worker.calls.poll(10, TimeUnit.MILLISECONDS);
                }
                assertTrue(next != null
                        || said.get().status() == 503
                        || reason(said.get()).equals("502 in-doubt")); // handed to the frozen one
            }
            assertTrue(System.nanoTime() - lostAt >= 300_000_000, "what is out may still run");
            next.open();
            next.done("r");
            assertEquals("200 null", reason(said.get()));
            assertTrue(!next.id().equals(call.id()));
            until(
                    "the others have all, and need not wait for it again",
                    () -> served(0, 1, 2) && shown(0).getAsJsonObject("leavers").size() == 0);
            if (signal.equals("STOP")) {
                signal(victim, "CONT");
                until(
                        "it is back",
                        () -> shown(0).get("slots").toString().contains("n3")
                                && shown(0).getAsJsonObject("leavers").size() == 0);
                assertTrue(worker.calls.isEmpty(), "it has sent nothing late");
            }
        } finally {
            victim.destroyForcibly();
        }
    }
}
