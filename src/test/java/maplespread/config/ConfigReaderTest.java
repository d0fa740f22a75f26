package maplespread.config;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplespread.policy.Idempotency;
import org.junit.Test;

/** The example's configuration is the pattern; each story spoils one key of it. */
public class ConfigReaderTest {
    private static String example() throws Exception {
        return Files.readString(Path.of("example/config.json"));
    }

    @Test
    public void theExampleIsRead() throws Exception {
        Config c = ConfigReader.read(example(), Map.of("BALANCER_NAME", "other"));
        assertEquals("other", c.name());
        assertEquals(7070, c.listen().getPort());
        assertEquals(0x2a, c.seed());
        assertEquals(Idempotency.NON_IDEMPOTENT, c.settings().classes().get(1).idempotency());
        assertEquals(2.5, c.settings().classes().get(1).stretchFactor(), 0);
        assertEquals(
                "clients are told when to come back",
                2000,
                c.settings().permissions().maxRetryAfterMs(),
                0);
        assertTrue("idle links end well before the worker's limit", c.times().workerIdleMs() <= 20_000);
        assertTrue("what cannot be read is closed within 3 s", c.times().clientReadMs() < 3000);
        String[][] limits = {{"192", "1024"}, {"144", "384"}, {"96", "256"}, {"32", "160"}};
        for (String[] l : limits) {
            Config.Limits z = ConfigReader.read(example().replace("192", l[0]).replace("1024", l[1]), Map.of())
                    .limits();
            assertTrue(
                    "descriptors of " + l[1],
                    z.clientConnections() + z.workerConnections() + z.probes() < Integer.parseInt(l[1]) - 24);
            assertTrue(
                    "threads in " + l[0],
                    z.requestsInFlight() > 8
                            && (z.clientConnections() + z.requestsInFlight()) * 0.122
                                    < Math.max(90, Integer.parseInt(l[0])) - 84);
        }
    }

    /** Guards against a start with a wrong value: the message names its key. */
    @Test
    public void aWrongValueIsNamedByItsKey() throws Exception {
        String[][] table = {
            {"\"aimMs\": 300", "\"aimMs\": -1", "settings.classes.0.aimMs"},
            {"\"deadlineMs\": 5000", "\"deadlineMs\": \"soon\"", "settings.classes.1.deadlineMs"},
            {"non_idempotent", "mostly_safe", "settings.classes.1.effect"},
            {"\"coldFrom\": 0.12", "\"coldFrom\": 0", "settings.rules.coldFrom"},
            {"\"tryLimit\": 5", "\"tryLimit\": 0", "settings.permissions.tryLimit"},
            {"\"name\": \"marfim\", ", "", "settings.customers.0.name"},
            {"127.0.0.1:7070", "localhost:7070", "listen"},
            {"127.0.0.1:8500", "127.0.0.1", "discovery"},
            {"\"2a\"", "\"zz\"", "seed"},
            {"\"2a\"", "{}", "seed"},
            {"[\"here\"]", "[{}]", "settings.areas"},
            {"\"sockets\": 1024", "\"sockets\": 20", "limits.sockets"},
            {"\"instances\": []", "\"instances\": 3", "known"},
            {"\"settings\"", "\"sittings\"", "settings"}
        };
        for (String[] row : table) {
            String text = example();
            assertTrue(row[0], text.contains(row[0]));
            ConfigException e = assertThrows(
                    row[1], ConfigException.class, () -> ConfigReader.read(text.replace(row[0], row[1]), Map.of()));
            assertTrue(e.getMessage(), e.getMessage().startsWith(row[2] + ":"));
        }
        assertThrows(ConfigException.class, () -> ConfigReader.read("[", Map.of()));
        assertThrows(ConfigException.class, () -> ConfigReader.fromEnvironment(Map.of()));
    }

    /** Guards an end that would come after the process may be killed, where all deadlines are short. */
    @Test
    public void aShutdownEndsBeforeTheProcessMayBeKilled() throws Exception {
        for (int ms : new int[] {1, 300, 600, 1500, 2900, 60_000}) {
            Config.Times t = ConfigReader.read(
                            example().replace("6000", "" + ms).replace("5000", "" + ms), Map.of())
                    .times();
            assertEquals(ms, t.longestDeadlineMs());
            assertTrue(
                    "killed at the longest deadline, 3 s at most, and 0.7 s",
                    t.shutdownMs() < Math.min(3000, ms) + 700);
            assertTrue("what is open is finished after it is held", t.drainMs() + 300 < t.shutdownMs());
        }
    }

    /** Guards a move of discovery: what the environment said at the start must not outlive a new file. */
    @Test
    public void afterTheStartTheFileSaysWhereDiscoveryIs() throws Exception {
        Map<String, String> env = Map.of(
                "BALANCER_CONFIG",
                "example/config.json",
                "BALANCER_DISCOVERY",
                "127.0.0.1:1",
                "BALANCER_NAME",
                "other");
        assertEquals(1, ConfigReader.fromEnvironment(env).discovery().getPort());
        Config again = ConfigReader.again(env);
        assertEquals(8500, again.discovery().getPort());
        assertEquals("other", again.name());
        assertEquals(List.of(), ConfigReader.fromEnvironment(env).needingRestart(again));
        Config other = ConfigReader.read(example().replace("7070", "7071").replace("here", "there"), Map.of());
        assertEquals(List.of("name", "listen", "settings.areas"), again.needingRestart(other));
    }

    /** Guards a reload: a key that the running file has is never silently replaced by a default. */
    @Test
    public void aNewFileMayLackNoKeyThatTheRunningOneHas() throws Exception {
        Config running = ConfigReader.read(example(), Map.of());
        assertTrue(running.keys().contains("settings.permissions.tryLimit")
                && running.keys().contains("settings.classes[].worth"));
        for (String key : running.keys()) {
            JsonObject root = JsonParser.parseString(example()).getAsJsonObject();
            drop(root, key);
            ConfigException e = assertThrows(
                    key,
                    ConfigException.class,
                    () -> ConfigReader.read(root.toString(), Map.of()).mergedInto(running));
            String named = key.replace("[]", "");
            String said = e.getMessage().replaceAll("\\.[0-9]", "").replace("[]", "");
            assertTrue(key + " by " + said, said.startsWith(named) || named.startsWith(said.split(":")[0]));
        }
        for (int cut = 0; cut < example().strip().length(); cut += 97) {
            String part = example().strip().substring(0, cut);
            assertThrows("cut at " + cut, ConfigException.class, () -> ConfigReader.read(part, Map.of()));
        }
        JsonObject root = JsonParser.parseString(example()).getAsJsonObject();
        root.remove("seed");
        root.remove("known");
        ConfigReader.read(root.toString(), Map.of()).mergedInto(running);
    }

    private static void drop(JsonObject in, String key) {
        int dot = key.indexOf('.');
        String first = dot < 0 ? key : key.substring(0, dot);
        if (dot < 0) {
            in.remove(key);
        } else if (first.endsWith("[]")) { // of one entry is enough
            drop(
                    in.getAsJsonArray(first.substring(0, first.length() - 2))
                            .get(0)
                            .getAsJsonObject(),
                    key.substring(dot + 1));
        } else {
            drop(in.getAsJsonObject(first), key.substring(dot + 1));
        }
    }

    /**
     * Guards the module's numbers: over reloads in any order a class keeps its place, its rules are its own.
     */
    @Test
    public void classesKeepTheirPlacesOverReloads() throws Exception {
        Config c = ConfigReader.read(example(), Map.of());
        String[] lists = {"checkout", "checkout,new", "new,catalogue-page", "fourth", "catalogue-page,checkout"};
        for (String names : lists) {
            JsonObject root = JsonParser.parseString(example()).getAsJsonObject();
            JsonArray classes = new JsonArray();
            for (String name : names.split(",")) {
                JsonObject one = root.getAsJsonObject("settings")
                        .getAsJsonArray("classes")
                        .get(0)
                        .getAsJsonObject()
                        .deepCopy();
                one.addProperty("name", name);
                one.addProperty("aimMs", 100 + name.length());
                classes.add(one);
            }
            root.getAsJsonObject("settings").add("classes", classes);
            Config next = ConfigReader.read(root.toString(), Map.of()).mergedInto(c);
            assertEquals(
                    c.names().classes(),
                    next.names().classes().subList(0, c.names().classes().size()));
            assertEquals(Set.of(names.split(",")), Set.copyOf(next.names().live()));
            for (String name : next.names().classes()) {
                int at = next.names().place(name);
                assertEquals(name, next.names().live().contains(name), at >= 0);
                assertEquals(
                        100 + name.length(),
                        at < 0
                                ? 100 + name.length()
                                : next.settings().classes().get(at).latencyObjectiveMs(),
                        0);
            }
            c = next;
        }
        assertEquals(4, c.settings().classes().size());
    }
}
