package maplespread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import maplespread.DispatcherServer;
import maplespread.config.Config;
import maplespread.config.ConfigReader;
import maplespread.config.OperatorConfig;
import maplespread.config.OperatorReader;
import org.junit.jupiter.api.Test;

/** One dispatcher over sockets: a tenant whose jobs nobody answers is named while they are still in work. */
class StarvationStoryTest {
    private static final int JOBS = 8;

    @Test
    void aTenantWhoseJobsLieIsNamedAndNobodyElse() throws Exception {
        Loopback.Peer worker = new Loopback.Peer(call -> {
            if (call.head.get("X-Org").equals("acme")) {
                call.open();
                call.done("x");
            }
        });
        Loopback here = new Loopback(worker);
        here.server.stop(); // another one takes its place
        String file = here.file.replace(
                "{\"name\":\"acme\",\"allowancePerS\":100}",
                "{\"name\":\"acme\",\"allowancePerS\":0},{\"name\":\"bolt\",\"allowancePerS\":0}");
        OperatorConfig operator =
                OperatorReader.text("{\"starvation\":{\"window_ms\":200,\"windows\":60," + "\"verdicts\":\"both\"}}");
        Config config = Loopback.console(Loopback.swift(ConfigReader.read(file, Map.of())));
        here.server = new DispatcherServer(config, operator, () -> config);
        here.server.start();
        List<Loopback.Client> waiting = new ArrayList<>();
        try (Loopback.Client client = here.new Client()) {
            for (int i = 0; i < 60; i++) {
                assertEquals(200, client.status(Loopback.job("order", "a" + i, 5000)));
            }
            for (int i = 0; i < JOBS; i++) {
                waiting.add(here.new Client()
                        .send(Loopback.job("order", "b" + i, 5000).replace("X-Org: acme", "X-Org: bolt")));
            }
            AtomicReference<String> seen = new AtomicReference<>(); // the word that named it: it may be over
            Loopback.until("bolt is named", () -> {
                seen.set(told(here));
                return seen.get().contains("\"STARVED\"");
            });
            String told = seen.get();
            assertTrue(told.contains("\"tenant\": 1") && !told.contains("\"tenant\": 0"), told);
        } finally {
            waiting.forEach(Loopback.Client::close);
            here.close();
            worker.close();
        }
    }

    private static String told(Loopback here) {
        try {
            return here.call("GET /admin/starvation").body;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
