package maplespread.net;

import static maplespread.net.Loopback.until;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import maplespread.net.GroupStory.Said;
import maplespread.net.Loopback.Call;
import maplespread.net.Loopback.Peer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Three dispatchers that keep order, and a worker that ends jobs when the story says so. */
class PartitionStoryTest {
    private static final String RULES = "{'rules':[{'when':{'class':'order'},'order':'by_key','runs_ms':300},"
        + "{'when':{'class':'stock'},'order':'by_key_stop','runs_ms':300},{}]}";
    @TempDir Path dir;
    private Peer worker;
    private GroupStory fleet;
    private int ids;

    @BeforeEach void begin() throws Exception {
        worker = new Peer(call -> { });
        fleet = new GroupStory(dir, 3, "'partition':{'slots':32,'table':" + RULES + "}", worker);
        until("each slot is open at one", () -> served(0, 1, 2));
    }

    @AfterEach void end() throws Exception {
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
        String job = Loopback.withKey(Loopback.job(lane, "t" + ++ids, 5000), "k" + ids)
            .replace("\r\nX-Lane", "\r\nX-Entity: " + entity + more + "\r\nX-Lane");
        return CompletableFuture.supplyAsync(() -> {
            try {
                return fleet.ask(at, job);
            } catch (Exception e) {
                throw new AssertionError(e);
            }
        });
    }

    private static String reason(Said said) {
        return said.status() + " " + said.head().get("X-Order");
    }

    @Test void jobsOfAKeyGoOutOneByOneWhicheverDispatcherTheyComeTo() throws Exception {
        int owner = owner("e1");
        List<CompletableFuture<Said>> said = new ArrayList<>(List.of(send(0, "order", "e1", "")));
        Call first = worker.next();
        for (int i = 1; i < 5; i++) {
            said.add(send(i % 3, "order", "e1", ""));
            int waiting = i;
            until("it is taken", () -> shown(owner).get("waiting").getAsInt() == waiting);
        }
        CompletableFuture<Said> other = send(0, "order", "e2", "");
        Call beside = worker.next();                             // another key does not wait
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
}
