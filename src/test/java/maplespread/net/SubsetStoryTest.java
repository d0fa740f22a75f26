package maplespread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import maplespread.DispatcherServer;
import maplespread.config.Config;
import maplespread.config.ConfigException;
import maplespread.config.ConfigReader;
import maplespread.config.OperatorConfig;
import maplespread.subset.SubsetAssignment;
import org.junit.jupiter.api.Test;

/** One dispatcher of ten over sockets: it uses its subset alone, and the module is told who shares it. */
class SubsetStoryTest {
    private static final SubsetAssignment.SubsetSettings WISH = new SubsetAssignment.SubsetSettings(3, 1);
    private volatile int dispatchers = 10;
    private Loopback.Peer discovery;
    private final Loopback.Peer[] workers = new Loopback.Peer[12];

    private String file() {
        return Loopback.config(discovery.address(), workers)
                .replace("\"balancers\":1,", "\"balancers\":" + dispatchers + ",");
    }

    private SubsetAssignment expected() {
        SubsetAssignment cut = new SubsetAssignment(0, dispatchers, WISH, 0);
        for (Loopback.Peer w : workers) {
            cut.put("s-" + w.socket.getLocalPort(), 0);
        }
        return cut;
    }

    @Test
    void jobsStayInTheSubsetAndTheModuleKnowsWhoSharesIt() throws Exception {
        for (int i = 0; i < workers.length; i++) {
            workers[i] = new Loopback.Peer(call -> {
                call.open();
                call.done("x");
            });
        }
        Loopback here = new Loopback(workers);
        DispatcherServer server = withSubset(here);
        server.start();
        try (Loopback.Client client = here.new Client()) {
            Set<String> mine = expected().workers();
            assertTrue(mine.size() < workers.length, "a subset: " + mine);
            assertEquals(sharers(), server.dispatcherCount());
            Set<String> used = new HashSet<>();
            for (int i = 0; i < 30; i++) {
                assertEquals(200, client.status(Loopback.job("page", "t" + i, 4000)));
            }
            for (Loopback.Peer w : workers) {
                if (!w.calls.isEmpty()) {
                    used.add("s-" + w.socket.getLocalPort());
                }
            }
            assertTrue(mine.containsAll(used), used + " of " + mine);
            dispatchers = 3; // fewer: wider, and shared by others
            int wanted = sharers();
            assertTrue(wanted < server.dispatcherCount(), "the case must show a change");
            server.reload();
            Loopback.until("shared by " + wanted, () -> server.dispatcherCount() == wanted);
        } finally {
            here.close();
            for (Loopback.Peer w : workers) {
                w.close();
            }
        }
    }

    /** Guards against a dispatcher that never calls discovery again: a new subset, by a reload, is no word of its. */
    @Test
    void aReloadInAnOutageTakesBackNoCall() throws Exception {
        for (int i = 0; i < workers.length; i++) {
            workers[i] = new Loopback.Peer(call -> {});
        }
        Loopback here = new Loopback(workers);
        DispatcherServer server = withSubset(here);
        try {
            discovery.calls.clear();
            server.start();
            Loopback.Call watch = discovery.next();
            discovery.script = call -> {
                server.reload(); // forwards the subset anew, while the next call is due
                call.link.close();
            };
            watch.link.close();
            for (int i = 0; i < 4; i++) {
                discovery.next();
            }
        } finally {
            here.close();
            for (Loopback.Peer w : workers) {
                w.close();
            }
        }
    }

    /** Puts a dispatcher that uses a subset in the place of the one that there is; it is not started. */
    private DispatcherServer withSubset(Loopback here) throws Exception {
        here.server.stop();
        discovery = here.discovery;
        OperatorConfig operator = new OperatorConfig(false, null, WISH, false);
        here.server = new DispatcherServer(
                ConfigReader.read(file(), Map.of()), operator, new DispatcherServer.ConfigSource() {
                    @Override
                    public Config read() throws ConfigException {
                        return ConfigReader.read(file(), Map.of());
                    }

                    @Override
                    public OperatorConfig operator() {
                        return operator;
                    }
                });
        return here.server;
    }

    private int sharers() {
        SubsetAssignment cut = expected();
        cut.workers();
        return cut.maxDispatchersPerWorker();
    }
}
