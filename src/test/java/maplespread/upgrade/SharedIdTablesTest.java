package maplespread.upgrade;

import static maplespread.upgrade.SharedIdTables.Claim.CLAIMED;
import static maplespread.upgrade.SharedIdTables.Claim.FULL;
import static maplespread.upgrade.SharedIdTables.Claim.USED;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Each object stands in for one process; they share nothing but the directory. */
class SharedIdTablesTest {
    private static final String HERE = "127.0.0.1:7070";
    private static final long PERIOD_MS = 1000;
    private static final long TIME_LIMIT_S = 60;

    private final AtomicLong nanos = new AtomicLong();

    private SharedIdTables open(Path dir) throws IOException {
        return new SharedIdTables(dir, HERE, () -> PERIOD_MS, nanos::get);
    }

    private void pass(double periods) {
        nanos.addAndGet((long) (periods * PERIOD_MS * 1_000_000));
    }

    /** Guards against a checkout that two processes run: whichever claims an id first, the other must not. */
    @Test
    void eachIdHasOneClaimantAndAReleasedIdIsFree(@TempDir Path dir) throws IOException {
        SharedIdTables old = open(dir);
        SharedIdTables next = open(dir);
        for (long hash : new long[] {0, 1, 4, -1, 77}) {
            assertEquals(CLAIMED, (hash % 2 == 0 ? old : next).claim(hash));
            assertEquals(USED, old.claim(hash));
            assertEquals(USED, next.claim(hash));
        }
        old.release(77);
        assertEquals(CLAIMED, next.claim(77));
        assertEquals(CLAIMED, new SharedIdTables(dir, "127.0.0.1:7071", () -> PERIOD_MS).claim(77), "another address");
    }

    /** Guards the promise over the replacement of a table: an id stays claimed for a period, and not for ever. */
    @Test
    void anIdOutlivesOneReplacementOfTheTable(@TempDir Path dir) throws IOException {
        SharedIdTables one = open(dir);
        SharedIdTables two = open(dir);
        one.claim(5);
        pass(1);
        two.maintain();
        assertEquals(USED, two.claim(5), "in the table before");
        assertEquals(CLAIMED, two.claim(6));
        assertEquals(USED, one.claim(6), "the first process has not seen the replacement yet");
        pass(1);
        two.maintain();
        assertEquals(CLAIMED, two.claim(5), "two periods later");
        assertEquals(USED, two.claim(6));
        pass(5);
        two.maintain();
        try (Stream<Path> files = Files.list(dir)) {
            assertEquals(2, files.count(), "tables that are not looked into are deleted");
        }
    }

    /** Guards against a process that was frozen over several replacements: what it claims late is claimed for all. */
    @Test
    void aProcessThatWasFrozenClaimsInTheNewestTable(@TempDir Path dir) throws IOException {
        SharedIdTables frozen = open(dir);
        SharedIdTables live = open(dir);
        for (int i = 0; i < 4; i++) {
            pass(1);
            live.maintain();
        }
        assertEquals(CLAIMED, live.claim(8));
        assertEquals(USED, frozen.claim(8));
        assertEquals(CLAIMED, frozen.claim(9));
        assertEquals(USED, live.claim(9));
    }

    /** Guards memory: a full table takes no more ids, forgets none, and has room again after its period. */
    @Test
    void aFullTableForgetsNothing(@TempDir Path dir) throws IOException {
        SharedIdTables tables = open(dir);
        for (int i = 0; i < MappedHashTable.MAX_HASHES; i++) {
            assertEquals(CLAIMED, tables.claim(1000 + i));
        }
        assertEquals(FULL, tables.claim(7));
        assertEquals(USED, tables.claim(1000));
        pass(1);
        tables.maintain();
        assertEquals(CLAIMED, tables.claim(7));
        assertEquals(USED, tables.claim(1000));
    }

    /**
     * Guards the moment of a replacement, one period after the last one: with claims from all sides in it, no id has two
     * claimants, none has none. All claim the ids of one block before any goes on to the next, as an id is promised for one
     * period only, and each block has one replacement.
     */
    @Test
    void concurrentClaimsAndReplacementsGiveEachIdOneClaimant(@TempDir Path dir) throws Exception {
        int processCount = 3;
        int blocks = 12;
        int idsPerBlock = 5000;
        AtomicIntegerArray claimants = new AtomicIntegerArray(blocks * idsPerBlock);
        CyclicBarrier nextBlock = new CyclicBarrier(processCount);
        ExecutorService threads = Executors.newCachedThreadPool();
        List<Future<?>> processes = new ArrayList<>();
        for (int process = 0; process < processCount; process++) {
            SharedIdTables tables = open(dir);
            int number = process;
            processes.add(threads.submit(() -> {
                for (int id = 0; id < claimants.length(); id++) {
                    int block = id / idsPerBlock;
                    if (id % idsPerBlock == 0) {
                        nextBlock.await(TIME_LIMIT_S, TimeUnit.SECONDS);
                    }
                    if (block % processCount == number && id % idsPerBlock == idsPerBlock / 2) {
                        pass(1);
                        tables.maintain();
                    }
                    if (tables.claim(id + 10) == CLAIMED) {
                        claimants.incrementAndGet(id);
                    }
                }
                return null;
            }));
        }
        for (Future<?> process : processes) {
            process.get();
        }
        threads.shutdown();
        for (int id = 0; id < claimants.length(); id++) {
            assertEquals(1, claimants.get(id), id + " has " + claimants.get(id) + " claimants");
        }
    }

    /** A table that is cut off must be an error, as its ids would be unknown. */
    @Test
    void aDamagedTableIsAnError(@TempDir Path dir) throws IOException {
        Files.writeString(dir.resolve("maplespread-ids-127.0.0.1_7070-1.table"), "cut");
        assertThrows(IOException.class, () -> open(dir));
    }
}
