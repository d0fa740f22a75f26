package maplespread.feature;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import maplespread.caller.RecentRequestIds;
import maplespread.feature.RequestIdSharing.PeerState;
import maplespread.upgrade.InstanceLock;
import maplespread.upgrade.InstanceRecord.Phase;
import maplespread.upgrade.SharedIdTables;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One process, on a clock of the test's, beside locks of others. */
class RequestIdSharingTest {
    private static final String HERE = "127.0.0.1:7070";
    private static final long DEADLINE_MS = 3000;
    private static final PeerState ALONE = new PeerState(false, true);
    private static final PeerState KNOWN = new PeerState(true, true);
    private static final PeerState UNKNOWN = new PeerState(true, false);

    private final AtomicLong nanos = new AtomicLong();
    private final AtomicBoolean accepting = new AtomicBoolean(true);
    private final AtomicBoolean tablesFail = new AtomicBoolean();
    private final RecentRequestIds ids = new RecentRequestIds(() -> DEADLINE_MS);
    private InstanceLock self;
    private RequestIdSharing sharing;

    @TempDir
    Path dir;

    @BeforeEach
    void open() {
        self = lock(Phase.SERVING);
        sharing = new RequestIdSharing(self, this::openTables, ids, () -> DEADLINE_MS, accepting::get, nanos::get);
    }

    @AfterEach
    void close() {
        self.close();
    }

    private SharedIdTables openTables() throws IOException {
        if (tablesFail.get()) {
            throw new IOException("no tables");
        }
        return new SharedIdTables(dir, HERE, ids::periodMs);
    }

    private InstanceLock lock(Phase phase) {
        InstanceLock lock = InstanceLock.acquire(dir, HERE).orElseThrow();
        lock.publish(phase);
        return lock;
    }

    private void pass(long ms) {
        nanos.addAndGet(ms * 1_000_000);
    }

    private boolean isShared(InstanceLock other) {
        return other.peers().get(0).sharesIds();
    }

    @Test
    void idsAreSharedWhileAnotherProcessRunsAndForOnePeriodAfter() throws IOException {
        assertEquals(ALONE, sharing.update());
        InstanceLock other = lock(Phase.SERVING);
        assertEquals(UNKNOWN, sharing.update());
        assertTrue(isShared(other));
        other.publishSharing(true);
        assertEquals(KNOWN, sharing.update());
        other.close();
        pass(ids.periodMs());
        assertEquals(ALONE, sharing.update());
        InstanceLock next = lock(Phase.STARTING);
        assertTrue(isShared(next), "what the other claimed may still be in flight");
        next.close();
        pass(1);
        sharing.update();
        InstanceLock last = lock(Phase.STARTING);
        assertFalse(isShared(last));
        assertEquals(KNOWN, sharing.update());
        assertTrue(isShared(last), "again");
        last.close();
    }

    /** Guards against what a process had in work that was killed before it shared its ids: they are unknown for a time. */
    @Test
    void theIdsOfAKilledProcessAreUnknownForOneDeadline() {
        lock(Phase.SERVING).close();
        assertEquals(ALONE, sharing.update(), "never seen");
        InstanceLock killed = lock(Phase.SERVING);
        assertEquals(UNKNOWN, sharing.update());
        killed.close();
        pass(DEADLINE_MS);
        assertEquals(new PeerState(false, false), sharing.update());
        pass(1);
        assertEquals(ALONE, sharing.update());
    }

    /** Guards service: a process that starts beside one in service accepts nothing before it shares its ids. */
    @Test
    void aStartingProcessIsUnknownOnlyToAnotherStartingOne() {
        InstanceLock other = lock(Phase.STARTING);
        assertEquals(KNOWN, sharing.update());
        accepting.set(false);
        assertEquals(UNKNOWN, sharing.update());
        accepting.set(true);
        assertEquals(UNKNOWN, sharing.update(), "it may accept without having seen this one");
        other.close();
    }

    /** Guards against a process that goes on without the tables: it refuses, and shares as soon as it can. */
    @Test
    void withoutTheTablesTheIdsAreUnknown() throws IOException {
        tablesFail.set(true);
        InstanceLock other = lock(Phase.SERVING);
        other.publishSharing(true);
        assertEquals(UNKNOWN, sharing.update());
        assertFalse(isShared(other));
        tablesFail.set(false);
        assertEquals(KNOWN, sharing.update());
        assertTrue(isShared(other));
        other.close();
    }
}
