package maplespread.worker;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplespread.config.Config;
import maplespread.config.ConfigReader;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** Connections to sixty workers, with room for fewer idle ones than that beside a full house. */
public class ConnectionPoolTest {
    private static final int WORKERS = 60;
    private final List<ServerSocket> workers = new ArrayList<>();
    private Config config;
    private ConnectionPool links;

    @Before
    public void open() throws Exception {
        config = ConfigReader.read(
                Files.readString(Path.of("example/config.json"))
                        .replace("192", "144")
                        .replace("1024", "384"),
                Map.of());
        assertTrue("a fixed pool would not hold them", config.limits().idleWorkerConnections() < WORKERS);
        links = new ConnectionPool(() -> config, config::limits);
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new ServerSocket(0, 1024, InetAddress.getLoopbackAddress()));
        }
    }

    @After
    public void close() throws IOException {
        for (ServerSocket s : workers) {
            s.close();
        }
    }

    private ConnectionPool.PooledConnection get(int worker) throws IOException {
        return links.acquire("127.0.0.1:" + workers.get(worker % WORKERS).getLocalPort(), 5000, false);
    }

    private List<ConnectionPool.PooledConnection> get(int from, int to) throws IOException {
        List<ConnectionPool.PooledConnection> all = new ArrayList<>();
        for (int i = from; i < to; i++) {
            all.add(get(i));
        }
        return all;
    }

    /** Thirty-two places for sixty workers made every second job dial, each a handshake at its worker too. */
    @Test
    public void aQuietDispatcherKeepsAConnectionToEachWorker() throws Exception {
        List<ConnectionPool.PooledConnection> first = get(0, WORKERS);
        first.forEach(links::release);
        assertEquals(first, get(0, WORKERS));
    }

    @Test
    public void newOnesEndTheLongestIdleAndNoMoreThanFitAreOpen() throws Exception {
        List<ConnectionPool.PooledConnection> idle = get(0, WORKERS);
        idle.forEach(links::release);
        List<ConnectionPool.PooledConnection> busy = get(WORKERS, WORKERS + 1); // the first worker's, taken again
        assertEquals(idle.get(0), busy.get(0));
        while (busy.size()
                < config.limits().workerConnections() - config.limits().idleWorkerConnections()) {
            busy.add(get(0));
        }
        Set<ConnectionPool.PooledConnection> open = new HashSet<>(busy);
        for (int i = 1; i <= config.limits().idleWorkerConnections(); i++) {
            ConnectionPool.PooledConnection latest = get(WORKERS - i);
            assertEquals("the last used are kept", idle.get(WORKERS - i), latest);
            open.add(latest);
        }
        assertEquals(config.limits().workerConnections(), open.size());
        assertFalse("the longest idle has ended", idle.contains(get(1)));
    }

    @Test
    public void whatIsClosedOrCouldNotBeHadLeavesItsPlace() throws Exception {
        workers.get(1).close();
        for (int i = 0; i < 3 * config.limits().workerConnections(); i++) {
            ConnectionPool.PooledConnection link = get(0);
            links.close(link);
            links.close(link);
            try {
                get(1);
            } catch (IOException refused) {
                continue;
            }
            throw new AssertionError("nobody listens there");
        }
        List<ConnectionPool.PooledConnection> all = get(2, WORKERS);
        all.forEach(links::release);
        assertEquals(all, get(2, WORKERS));
    }
}
