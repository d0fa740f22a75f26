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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import maplespread.config.Config;
import maplespread.config.ConfigReader;
import maplespread.http.HttpConnection;
import org.junit.After;
import org.junit.Before;
import org.junit.Test;

/** A pool for sixty workers that keeps fewer idle connections than workers when all other connections are in use. */
public class ConnectionPoolTest {
    private static final int WORKERS = 60;
    private final List<ServerSocket> workers = new ArrayList<>();
    private Config config;
    private ConnectionPool pool;

    @Before
    public void open() throws Exception {
        config = ConfigReader.read(
                Files.readString(Path.of("example/config.json"))
                        .replace("192", "144")
                        .replace("1024", "384"),
                Map.of());
        assertTrue(
                "the reserved idle connections must be fewer than the workers",
                config.limits().idleWorkerConnections() < WORKERS);
        pool = new ConnectionPool(() -> config, config::limits);
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
        return get(worker, ConnectionReuse.ANY);
    }

    private ConnectionPool.PooledConnection get(int worker, ConnectionReuse reuse) throws IOException {
        return pool.acquire("127.0.0.1:" + workers.get(worker % WORKERS).getLocalPort(), 5000, reuse);
    }

    private List<ConnectionPool.PooledConnection> get(int from, int to) throws IOException {
        List<ConnectionPool.PooledConnection> all = new ArrayList<>();
        for (int i = from; i < to; i++) {
            all.add(get(i));
        }
        return all;
    }

    /** With a fixed limit of 32 idle connections for 60 workers every second request opened a new connection. */
    @Test
    public void anIdleDispatcherKeepsAConnectionToEachWorker() throws Exception {
        List<ConnectionPool.PooledConnection> first = get(0, WORKERS);
        first.forEach(pool::release);
        assertEquals(first, get(0, WORKERS));
    }

    @Test
    public void newConnectionsCloseTheLongestIdleAndStayWithinTheLimit() throws Exception {
        List<ConnectionPool.PooledConnection> idle = get(0, WORKERS);
        idle.forEach(pool::release);
        List<ConnectionPool.PooledConnection> busy = get(WORKERS, WORKERS + 1); // the first worker's connection, reused
        assertEquals(idle.get(0), busy.get(0));
        while (busy.size()
                < config.limits().workerConnections() - config.limits().idleWorkerConnections()) {
            busy.add(get(0));
        }
        Set<ConnectionPool.PooledConnection> open = new HashSet<>(busy);
        for (int i = 1; i <= config.limits().idleWorkerConnections(); i++) {
            ConnectionPool.PooledConnection latest = get(WORKERS - i);
            assertEquals("the most recently used connections are kept", idle.get(WORKERS - i), latest);
            open.add(latest);
        }
        assertEquals(config.limits().workerConnections(), open.size());
        assertFalse("the connection idle longest is closed", idle.contains(get(1)));
    }

    @Test
    public void closedAndFailedConnectionsNoLongerCount() throws Exception {
        workers.get(1).close();
        for (int i = 0; i < 3 * config.limits().workerConnections(); i++) {
            ConnectionPool.PooledConnection connection = get(0);
            pool.close(connection);
            pool.close(connection);
            try {
                get(1);
            } catch (IOException expected) {
                continue;
            }
            throw new AssertionError("connecting to a closed port must fail");
        }
        List<ConnectionPool.PooledConnection> all = get(2, WORKERS);
        all.forEach(pool::release);
        assertEquals(all, get(2, WORKERS));
    }

    /** Guards against a late second response that passes for the answer to a request that must not run twice. */
    @Test
    public void aConnectionIsSettledOnlySomeTimeAfterItsLastResponse() throws Exception {
        AtomicLong now = new AtomicLong();
        pool = new ConnectionPool(() -> config, config::limits, HttpConnection::dial, now::get);
        ConnectionPool.PooledConnection early = get(0);
        ConnectionPool.PooledConnection late = get(0);
        pool.release(early);
        now.addAndGet(TimeUnit.MILLISECONDS.toNanos(60));
        pool.release(late);
        now.addAndGet(TimeUnit.MILLISECONDS.toNanos(39));
        ConnectionPool.PooledConnection unsettled = get(0, ConnectionReuse.IF_SETTLED);
        assertFalse("99 ms after a response", List.of(early, late).contains(unsettled));
        now.addAndGet(TimeUnit.MILLISECONDS.toNanos(1));
        assertEquals("100 ms after", early, get(0, ConnectionReuse.IF_SETTLED));
        assertEquals("what may be repeated takes the last one used", late, get(0, ConnectionReuse.ANY));
    }
}
