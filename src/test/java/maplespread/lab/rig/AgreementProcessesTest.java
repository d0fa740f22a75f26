package maplespread.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import maplespread.lab.rig.GroupLinks.Trouble;
import org.junit.jupiter.api.Test;

/** The agreed value over real processes: electors that stall, die, move, and are lost. */
class AgreementProcessesTest {
    private static final String OLD = "'n0','n1','n2'", NEW = "'n1','n2','n3'";
    private static final long MOST_MS = 60_000;
    private final List<String> decided = new ArrayList<>();
    private Rig rig;
    private int word;

    private static String operator(int d, String electors, Rig of) throws IOException {
        return ("{" + of.group(d, electors.equals("1") ? OLD : electors, "1", 250, 80)
                        + ",'release':{'dispatchers_out':1,'workers_out':1,'workers_out_zone':1}}")
                .replace('\'', '"');
    }

    private void await(String what, Callable<Boolean> condition) throws Exception {
        String last = "";
        for (long end = System.nanoTime() + MOST_MS * 1_000_000; System.nanoTime() < end; Thread.sleep(20)) {
            try {
                if (condition.call()) {
                    return;
                }
            } catch (IOException down) {
                last = down.toString();
            }
        }
        throw new AssertionError("in vain for " + what + ' ' + last + "; logs in " + rig.folder());
    }

    /** A change with a word of its own, once; what it was told. */
    private String change(int d) throws IOException {
        String mine = "w" + ++word;
        String told = rig.dispatchers.get(d).call("POST", "/admin/release/halt?why=" + mine, "");
        if (told.startsWith("200 ")) {
            decided.add(mine);
        }
        return told;
    }

    private void decide(int... by) throws Exception {
        for (int d : by) {
            await("a change at n" + d, () -> change(d).startsWith("200 "));
        }
    }

    private JsonObject group(int d) throws IOException {
        return JsonParser.parseString(
                        rig.dispatchers.get(d).call("GET", "/admin/group", "").substring(4))
                .getAsJsonObject();
    }

    private boolean sees(int d) throws IOException {
        JsonObject g = group(d);
        return g.has("blind") && !g.get("blind").getAsBoolean();
    }

    private void restart(int d) throws Exception {
        rig.kill(d);
        rig.restart(d);
        rig.dispatchers.get(d).awaitServing();
    }

    /** The words in the agreed log, as it is known here. */
    private List<String> log(int d) throws IOException {
        JsonArray log = JsonParser.parseString(
                        rig.dispatchers.get(d).call("GET", "/admin/release", "").substring(4))
                .getAsJsonObject()
                .getAsJsonObject("agreed")
                .getAsJsonArray("log");
        List<String> words = new ArrayList<>();
        for (JsonElement act : log) {
            if (act.getAsJsonObject().get("what").getAsString().equals("halt")) {
                words.add(act.getAsJsonObject().get("why").getAsString());
            }
        }
        return words;
    }

    /** All that was told as decided since the last look is in what these know, each once. */
    private void once(int... of) throws Exception {
        for (int d : of) {
            await("the last word at n" + d, () -> log(d).contains(decided.get(decided.size() - 1)));
            List<String> words = log(d);
            assertEquals(words.size(), words.stream().distinct().count(), "twice: " + words);
            assertTrue(words.containsAll(decided), decided + " are not all in " + words);
        }
        decided.clear();
    }

    @Test
    void changesAreDecidedOnceWhileElectorsStallDieMoveAndAreFoundAnew() throws Exception {
        try (Rig four = new Rig(new Rig.Plan(4, 1, 3, 0, AgreementProcessesTest::operator, 2))) {
            rig = four;
            rig.links.all(new Trouble(false, 0.1, 0.2, 0, 20));
            decide(0, 1, 2, 3);
            rig.dispatchers.get(0).signal("STOP");
            decide(3);
            rig.dispatchers.get(0).signal("CONT");
            once(0, 2);
            for (int d = 0; d < 4; d++) { // all files, before anybody restarts
                rig.version(d, NEW);
                Files.writeString(rig.folder().resolve("n" + d + "-operator.json"), operator(d, NEW, rig));
            }
            rig.dispatchers.get(3).signal("HUP");
            await("the move", () -> {
                if (decided.isEmpty()) {
                    change(1); // meanwhile it goes on
                }
                return NEW.equals(group(1).getAsJsonArray("electors")
                        .toString()
                        .replace('"', '\'')
                        .replaceAll("[\\[\\]]", ""));
            });
            restart(1); // under its name, and empty
            await("sight", () -> sees(1));
            rig.kill(2);
            decide(3, 1); // by the new run's vote
            rig.links.all(Trouble.NONE);
            once(0, 3);
            restart(1); // now a majority is gone at once
            rig.restart(2);
            rig.dispatchers.get(2).awaitServing();
            await("the group", () -> group(1).has("blind") && group(2).has("blind"));
            String told = change(3);
            assertTrue(told.startsWith("503 no majority of [[n1, n2, n3]]"), told);
            assertTrue(!sees(1) && !sees(2), "none may begin by itself");
            await(
                    "found",
                    () -> rig.dispatchers
                            .get(3)
                            .call("POST", "/admin/group/found?why=lost", "")
                            .startsWith("200 "));
            decide(0, 1, 2, 3);
            once(0, 1, 2, 3);
        }
        assertEquals(List.of(), rig.wrongs(), "logs in " + rig.folder());
        assertTrue(rig.links.lost.sum() > 0 && rig.links.repeated.sum() > 0, "the links did nothing");
    }
}
