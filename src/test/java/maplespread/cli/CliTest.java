package maplespread.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import maplespread.lab.registry.StandInRegistry;
import maplespread.lab.registry.Store;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

class CliTest {
    private final StringWriter out = new StringWriter();

    private int run(String... args) {
        CommandLine line = Cli.line();
        line.setOut(new PrintWriter(out, true));
        line.setErr(new PrintWriter(out, true));
        return line.execute(args);
    }

    /** The whole round of a worker, by the operators' commands, in each dialect. */
    @ParameterizedTest
    @CsvSource({"etcd,/outlet/", "consul-kv,outlet", "consul-health,outlet"})
    void aWorkerIsPutSeenDrainedAndRemoved(String dialect, String follow) throws Exception {
        try (StandInRegistry registry = new StandInRegistry(new Store(), 1)) {
            List<String> which = List.of("--dialect", dialect, "--endpoint", registry.address(), "--follow", follow);
            assertEquals(0, registry(which, "put", "w-1", "127.0.0.1:9001", "--cell", "3"), out.toString());
            assertEquals(0, registry(which, "put", "w-2", "127.0.0.1:9002"));
            assertEquals(0, registry(which, "drain", "w-1"), out.toString());
            assertEquals(1, registry(which, "drain", "w-9"));
            assertEquals(0, registry(which, "ls"), out.toString());
            assertTrue(
                    out.toString().matches("(?s).*w-1 +127.0.0.1:9001 +DRAIN.*w-2 +127.0.0.1:9002 +S.*"),
                    out.toString());
            assertEquals(0, registry(which, "rm", "w-2"));
            out.getBuffer().setLength(0);
            assertEquals(0, registry(which, "ls"));
            assertTrue(!out.toString().contains("w-2"), out.toString());
            assertEquals(
                    0,
                    registry(which, "keep", "w-3", "127.0.0.1:9003", "--ttl", "2", "--grace", "1", "--for", "1"),
                    out.toString());
            assertTrue(out.toString().matches("(?s).*w-3 serves.*w-3 drains.*w-3 is removed.*"), out.toString());
            out.getBuffer().setLength(0);
            registry(which, "ls");
            assertTrue(!out.toString().contains("w-3"), out.toString());
        }
    }

    private int registry(List<String> which, String... what) {
        List<String> all = new ArrayList<>(List.of("registry", what[0]));
        all.addAll(which);
        all.addAll(Arrays.asList(what).subList(1, what.length));
        return run(all.toArray(String[]::new));
    }

    @Test
    void checkPrintsWhatCountsOrTheFaultyKey(@TempDir Path dir) throws Exception {
        assertEquals(0, run("check", "--config", "example/config.json", "--operator", "deploy/operator.json"));
        assertTrue(out.toString().contains("registry.endpoints"), out.toString());
        assertTrue(out.toString().contains("10 dispatchers a worker, at least 20 workers"), out.toString());
        assertEquals(
                0,
                run("check", "--config", "example/config.json", "--operator", "deploy/operator-order.json"),
                out.toString());
        Path bad = Files.writeString(dir.resolve("o.json"), "{\"registy\":{}}");
        assertEquals(2, run("check", "--operator", bad.toString()));
        assertTrue(out.toString().contains("registy: is not known; did you mean registry?"), out.toString());
    }

    @Test
    void wrongCallsExitWithTwo() {
        for (String[] args : new String[][] {
            {},
            {"nothing"},
            {"check"},
            {"registry"},
            {"registry", "ls"},
            {"registry", "ls", "--dialect", "zk", "--endpoint", "127.0.0.1:1", "--follow", "a"},
            {"measure"}
        }) {
            assertEquals(2, run(args), Arrays.toString(args));
        }
        assertEquals(0, run("--help"));
        assertEquals(0, run("generate-completion"));
    }
}
