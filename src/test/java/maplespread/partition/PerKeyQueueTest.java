package maplespread.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import maplespread.partition.PerKeyQueue.ExecutionResult;
import maplespread.partition.Rule.OnFailure;
import org.junit.jupiter.api.Test;

/** Lines of keys by hand: what goes out, what is answered and when, each told as a line of words. */
class PerKeyQueueTest {
    private static final LeaseSettings SET = new LeaseSettings(3, 300, 0);
    private final StringBuilder told = new StringBuilder();
    private long opens;
    private long ids;
    private OnFailure failed = OnFailure.GO_ON;
    private final PerKeyQueue queue = new PerKeyQueue(SET, new PerKeyQueue.Callbacks() {
        @Override
        public long sendAllowedFrom(PerKeyQueue.QueuedRequest job) {
            return opens;
        }

        @Override
        public void send(PerKeyQueue.QueuedRequest job) {
            told.append(job.key()).append(job.id()).append(' ');
        }

        @Override
        public void reject(PerKeyQueue.QueuedRequest job, PerKeyQueue.Rejection why) {
            told.append(why).append(job.id()).append(' ');
        }
    });

    {
        queue.updatePartitions(
                Set.of(new Partition("p", Set.of(), Set.of(), Set.of(), 0, 1, false, new QueueLimits(20, 1e6, 5000))));
    }

    /** Runs 100 ms at most; 12 jobs, 1 s of work and 700 ms of waiting a key. */
    private void take(long now, String key, double workMs, long deadline) {
        Rule rule = new Rule(
                "r",
                List.of(),
                "p",
                Rule.Order.BY_KEY,
                "entity",
                failed,
                100,
                new QueueLimits(12, 1000, 700),
                List.of());
        queue.enqueue(now, new PerKeyQueue.QueuedRequest(++ids, key, rule, workMs, deadline, now));
    }

    private void expect(String words) {
        assertEquals(words, told.toString().strip());
        told.setLength(0);
    }

    @Test
    void oneOutOfAKeyInTheOrderTakenAndAnUnknownOutcomeHoldsIt() {
        take(0, "k", 10, 9999);
        take(0, "k", 10, 9999);
        take(0, "m", 10, 9999);
        take(0, "k", 10, 100);
        expect("k1 m3");
        queue.complete(5, 1, ExecutionResult.NEVER_RAN);
        expect("k2");
        queue.complete(20, 2, ExecutionResult.UNKNOWN); // held to 121: the last one is too late
        expect("LATE4");
        take(30, "k", 10, 9999);
        queue.runDue(120);
        expect("");
        assertEquals(
                Set.of(1),
                queue.busySlots(120, key -> key.equals("k") ? 1 : 2).stream()
                        .filter(s -> s == 1)
                        .collect(java.util.stream.Collectors.toSet()));
        queue.runDue(121);
        expect("k5");
    }

    @Test
    void whatCannotMakeItsDeadlineBehindTheHeadIsAnsweredAtOnceAndTheOldByTheirAge() {
        take(0, "k", 200, 9999);
        take(0, "k", 100, 299); // 200 + 100 is one too many
        expect("k1 LATE2");
        take(0, "k", 10, 250);
        take(0, "k", 10, 9999);
        assertEquals(241, queue.runDue(200));
        queue.runDue(241); // the head runs over
        expect("LATE3");
        assertEquals(700, queue.runDue(699));
        queue.runDue(700);
        expect("AGED4");
        queue.cancel(700, 1);
        take(700, "k", 1, 9999);
        queue.cancel(701, 5);
        queue.complete(710, 1, ExecutionResult.DONE);
        expect("");
        assertEquals(0, queue.waitingCount());
    }

    @Test
    void aHotKeyLeavesRoomForOthers() {
        for (int i = 0; i < 40; i++) {
            take(0, "hot", 1, 9999);
        }
        assertEquals(10, queue.waitingCount(), "half of the partition's 20");
        assertEquals(10, queue.waitingWorkMs("p"));
        told.setLength(0);
        take(0, "a", 1, 9999);
        take(0, "a", 1, 9999);
        expect("a41");
        take(0, "a", 990, 9999);
        take(0, "a", 990, 9999);
        expect("FULL44");
    }

    @Test
    void afterAFailureAKeyGoesOnIsSkippedOrStopsUntilItIsStarted() {
        for (OnFailure f : OnFailure.values()) {
            failed = f;
            take(0, f.name(), 1, 9999);
            take(0, f.name(), 1, 9999);
            queue.complete(1, ids - 1, ExecutionResult.FAILED);
            take(2, f.name(), 1, 9999);
        }
        expect("GO_ON1 GO_ON2 SKIP4 SKIPPED5 SKIP6 STOP7 STOPPED8 STOPPED9");
        assertEquals(Set.of("STOP"), queue.unstoredStops());
        queue.updateStoppedKeys(new TreeSet<>(Set.of("STOP")));
        take(3, "STOP", 1, 9999);
        queue.updateStoppedKeys(Set.of());
        take(4, "STOP", 1, 9999);
        expect("STOPPED10 STOP11");
        queue.complete(5, 11, ExecutionResult.UNKNOWN); // it may have failed
        queue.stopNotStored(6, "STOP");
        take(6, "STOP", 1, 9999);
        queue.runDue(200);
        expect("STOP12");
    }

    @Test
    void aSlotThatOpensLaterWaitsAndOneThatHasMovedHandsBack() {
        opens = 500;
        take(0, "k", 10, 505);
        take(0, "k", 10, 9999);
        expect("LATE1");
        queue.runDue(499);
        expect("");
        opens = 300; // the leaver has confirmed
        queue.reevaluateAll(300);
        expect("k2");
        take(300, "k", 10, 9999);
        opens = FencingCheck.NEVER;
        queue.reevaluateAll(301);
        expect("MOVED3");
        take(301, "k", 10, 9999);
        expect("MOVED4");
        assertTrue(queue.busySlots(301, k -> 7).contains(7), "its head is still out");
    }
}
