package maplespread.config;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import maplespread.decision.Dispatch;
import org.junit.Test;

/** The example's configuration is the pattern; each story spoils one key of it. */
public class ConfigReaderTest {
    private static String example() throws Exception {
        return Files.readString(Path.of("example/config.json"));
    }

    @Test public void theExampleIsRead() throws Exception {
        Config c = ConfigReader.read(example(), Map.of("BALANCER_NAME", "other"));
        assertEquals("other", c.name());
        assertEquals(7070, c.listen().getPort());
        assertEquals(0x2a, c.seed());
        assertEquals(Dispatch.Effect.UNSAFE, c.settings().classes().get(1).effect());
        assertEquals(2.5, c.settings().classes().get(1).stretch(), 0);
        assertEquals("clients are told when to come back", 2000, c.settings().permissions().maxPauseMs(), 0);
        assertTrue("idle links end well before the worker's limit", c.times().linkIdleMs() <= 20_000);
        assertTrue("what cannot be read is closed within 3 s", c.times().legReadMs() < 3000);
        String[][] limits = {{"192", "1024"}, {"144", "384"}, {"96", "256"}, {"32", "160"}};
        for (String[] l : limits) {
            Config.Sizes z = ConfigReader.read(example().replace("192", l[0]).replace("1024", l[1]), Map.of())
                .sizes();
            assertTrue("descriptors of " + l[1], z.legs() + z.links() + z.probes()
                < Integer.parseInt(l[1]) - 24);
            assertTrue("threads in " + l[0], z.transactions() > 8
                && (z.legs() + z.transactions()) * 0.122 < Math.max(90, Integer.parseInt(l[0])) - 84);
        }
    }

    /** Guards against a start with a wrong value: the message names its key. */
    @Test public void aWrongValueIsNamedByItsKey() throws Exception {
        String[][] table = {
            {"\"aimMs\": 300", "\"aimMs\": -1", "settings.classes.0.aimMs"},
            {"\"deadlineMs\": 5000", "\"deadlineMs\": \"soon\"", "settings.classes.1.deadlineMs"},
            {"non_idempotent", "mostly_safe", "settings.classes.1.effect"},
            {"\"coldFrom\": 0.12", "\"coldFrom\": 0", "settings.rules.coldFrom"},
            {"\"tryLimit\": 5", "\"tryLimit\": 0", "settings.permissions.tryLimit"},
            {"\"name\": \"marfim\", ", "", "settings.customers.0.name"},
            {"127.0.0.1:7070", "localhost:7070", "listen"}, {"127.0.0.1:8500", "127.0.0.1", "discovery"},
            {"\"2a\"", "\"zz\"", "seed"}, {"\"2a\"", "{}", "seed"}, {"[\"here\"]", "[{}]", "settings.areas"},
            {"\"sockets\": 1024", "\"sockets\": 20", "limits.sockets"},
            {"\"instances\": []", "\"instances\": 3", "known"}, {"\"settings\"", "\"sittings\"", "settings"}};
        for (String[] row : table) {
            String text = example();
            assertTrue(row[0], text.contains(row[0]));
            ConfigError e = assertThrows(row[1], ConfigError.class,
                () -> ConfigReader.read(text.replace(row[0], row[1]), Map.of()));
            assertTrue(e.getMessage(), e.getMessage().startsWith(row[2] + ":"));
        }
        assertThrows(ConfigError.class, () -> ConfigReader.read("[", Map.of()));
        assertThrows(ConfigError.class, () -> ConfigReader.fromEnvironment(Map.of()));
    }

    /** Guards a move of discovery: what the environment said at the start must not outlive a new file. */
    @Test public void afterTheStartTheFileSaysWhereDiscoveryIs() throws Exception {
        Map<String, String> env = Map.of("BALANCER_CONFIG", "example/config.json", "BALANCER_DISCOVERY",
            "127.0.0.1:1", "BALANCER_NAME", "other");
        assertEquals(1, ConfigReader.fromEnvironment(env).discovery().getPort());
        Config again = ConfigReader.again(env);
        assertEquals(8500, again.discovery().getPort());
        assertEquals("other", again.name());
        assertEquals(List.of(), ConfigReader.fromEnvironment(env).needingRestart(again));
        Config other = ConfigReader.read(example().replace("7070", "7071").replace("0.12", "0.2"), Map.of());
        assertEquals(List.of("name", "listen", "settings"), again.needingRestart(other));
    }
}
