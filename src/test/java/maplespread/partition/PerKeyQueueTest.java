package maplespread.partition;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import maplespread.partition.PerKeyQueue.ExecutionResult;
import maplespread.partition.Rule.OnFailure;
import org.junit.jupiter.api.Test;

/** Records what the queue sends and rejects, as one line of words, and compares it with the expected line. */
class PerKeyQueueTest {
    private static final LeaseSettings SETTINGS = new LeaseSettings(3, 300, 0);
    private final StringBuilder events = new StringBuilder();
    private long sendAllowedFromMs;
    private long lastId;
    private OnFailure onFailure = OnFailure.GO_ON;
    private final PerKeyQueue queue = new PerKeyQueue(SETTINGS, new PerKeyQueue.Callbacks() {
        @Override
        public long sendAllowedFrom(PerKeyQueue.QueuedRequest request) {
            return sendAllowedFromMs;
        }

        @Override
        public void send(PerKeyQueue.QueuedRequest request) {
            events.append(request.key()).append(request.id()).append(' ');
        }

        @Override
        public void reject(PerKeyQueue.QueuedRequest request, PerKeyQueue.Rejection why) {
            events.append(why).append(request.id()).append(' ');
        }
    });

    {
        queue.updatePartitions(
                Set.of(new Partition("p", Set.of(), Set.of(), Set.of(), 0, 1, false, new QueueLimits(20, 1e6, 5000))));
    }

    /** Enqueues a request that runs 100 ms at most, with limits per key of 12 requests, 1 s of work and 700 ms of age. */
    private void enqueue(long nowMs, String key, double workMs, long deadlineMs) {
        Rule rule = new Rule(
                "r",
                List.of(),
                "p",
                Rule.Order.BY_KEY,
                "entity",
                onFailure,
                100,
                new QueueLimits(12, 1000, 700),
                List.of());
        queue.enqueue(nowMs, new PerKeyQueue.QueuedRequest(++lastId, key, rule, workMs, deadlineMs, nowMs));
    }

    private void expect(String expected) {
        assertEquals(expected, events.toString().strip());
        events.setLength(0);
    }

    @Test
    void requestsOfAKeyAreSentOneAtATimeAndAnUnknownOutcomeHoldsTheKey() {
        enqueue(0, "k", 10, 9999);
        enqueue(0, "k", 10, 9999);
        enqueue(0, "m", 10, 9999);
        enqueue(0, "k", 10, 100);
        expect("k1 m3");
        queue.complete(5, 1, ExecutionResult.NEVER_RAN);
        expect("k2");
        queue.complete(20, 2, ExecutionResult.UNKNOWN); // the key is held until 121, after the deadline of request 4
        expect("LATE4");
        enqueue(30, "k", 10, 9999);
        queue.runDue(120);
        expect("");
        assertEquals(
                Set.of(1),
                queue.busySlots(120, key -> key.equals("k") ? 1 : 2).stream()
                        .filter(slot -> slot == 1)
                        .collect(Collectors.toSet()));
        queue.runDue(121);
        expect("k5");
    }

    @Test
    void requestsAreRejectedAtOnceIfLateAndOnceTheyExceedTheirAgeLimit() {
        enqueue(0, "k", 200, 9999);
        enqueue(0, "k", 100, 299); // 200 + 100 is 1 ms after the deadline
        expect("k1 LATE2");
        enqueue(0, "k", 10, 250);
        enqueue(0, "k", 10, 9999);
        assertEquals(241, queue.runDue(200));
        queue.runDue(241); // the request in flight runs longer than estimated
        expect("LATE3");
        assertEquals(700, queue.runDue(699));
        queue.runDue(700);
        expect("AGED4");
        queue.cancel(700, 1);
        enqueue(700, "k", 1, 9999);
        queue.cancel(701, 5);
        queue.complete(710, 1, ExecutionResult.DONE);
        expect("");
        assertEquals(0, queue.waitingCount());
    }

    @Test
    void aHotKeyLeavesCapacityToOthers() {
        for (int i = 0; i < 40; i++) {
            enqueue(0, "hot", 1, 9999);
        }
        assertEquals(10, queue.waitingCount(), "half of the partition's limit of 20");
        assertEquals(10, queue.waitingWorkMs("p"));
        events.setLength(0);
        enqueue(0, "a", 1, 9999);
        enqueue(0, "a", 1, 9999);
        expect("a41");
        enqueue(0, "a", 990, 9999);
        enqueue(0, "a", 990, 9999);
        expect("FULL44");
    }

    @Test
    void afterAFailureTheRuleDecidesWhatFollowsForTheKey() {
        for (OnFailure failurePolicy : OnFailure.values()) {
            onFailure = failurePolicy;
            enqueue(0, failurePolicy.name(), 1, 9999);
            enqueue(0, failurePolicy.name(), 1, 9999);
            queue.complete(1, lastId - 1, ExecutionResult.FAILED);
            enqueue(2, failurePolicy.name(), 1, 9999);
        }
        expect("GO_ON1 GO_ON2 SKIP4 SKIPPED5 SKIP6 STOP7 STOPPED8 STOPPED9");
        assertEquals(Set.of("STOP"), queue.unstoredStops());
        queue.updateStoppedKeys(new TreeSet<>(Set.of("STOP")));
        enqueue(3, "STOP", 1, 9999);
        queue.updateStoppedKeys(Set.of());
        enqueue(4, "STOP", 1, 9999);
        expect("STOPPED10 STOP11");
        queue.complete(5, 11, ExecutionResult.UNKNOWN); // it may have failed
        queue.stopNotStored(6, "STOP");
        enqueue(6, "STOP", 1, 9999);
        queue.runDue(200);
        expect("STOP12");
    }

    @Test
    void requestsWaitUntilTheirSlotOpensAndAreRejectedOnceItHasMoved() {
        sendAllowedFromMs = 500;
        enqueue(0, "k", 10, 505);
        enqueue(0, "k", 10, 9999);
        expect("LATE1");
        queue.runDue(499);
        expect("");
        sendAllowedFromMs = 300; // the previous owner has confirmed
        queue.reevaluateAll(300);
        expect("k2");
        enqueue(300, "k", 10, 9999);
        sendAllowedFromMs = FencingCheck.NEVER;
        queue.reevaluateAll(301);
        expect("MOVED3");
        enqueue(301, "k", 10, 9999);
        expect("MOVED4");
        assertTrue(queue.busySlots(301, k -> 7).contains(7), "its first request is still in flight");
    }
}
