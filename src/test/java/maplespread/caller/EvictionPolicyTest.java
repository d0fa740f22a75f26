package maplespread.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class EvictionPolicyTest {
    private static final long NANOS_PER_MS = 1_000_000;

    private final AtomicLong nowMs = new AtomicLong(100_000);
    private final EvictionPolicy policy = new EvictionPolicy(() -> nowMs.get() * NANOS_PER_MS);

    private class Connection implements EvictionPolicy.Candidate {
        private final boolean validated;
        private final long idleMs;
        private final boolean evictable;

        Connection(boolean validated, long idleMs, boolean evictable) {
            this.validated = validated;
            this.idleMs = idleMs;
            this.evictable = evictable;
        }

        @Override
        public boolean isValidated() {
            return validated;
        }

        @Override
        public boolean isEvictable() {
            return evictable;
        }

        @Override
        public long lastActivityNanos() {
            return (nowMs.get() - idleMs) * NANOS_PER_MS;
        }
    }

    private Connection validated(long idleMs) {
        return new Connection(true, idleMs, true);
    }

    private Connection unvalidated(long idleMs) {
        return new Connection(false, idleMs, true);
    }

    /** Guards clients that come and go with their requests against a crowd that connects anew all the time. */
    @Test
    void aConnectionInUseKeepsItsPlaceBesideACrowd() {
        Connection used = validated(900);
        Connection crowd = unvalidated(1);
        assertEquals(Optional.of(crowd), policy.chooseForNew(List.of(used, crowd)));
        Connection busyCrowd = new Connection(false, 50, false);
        assertEquals(Optional.empty(), policy.chooseForNew(List.of(used, busyCrowd)));
        Connection unused = validated(60_000);
        assertEquals(Optional.of(unused), policy.chooseForNew(List.of(used, unused, crowd)));
        assertEquals(Optional.of(used), policy.chooseForNew(List.of(used, validated(10))), "without a crowd");
    }

    /** Guards the limit on validated connections: unvalidated ones, and those in use at this moment, do not count. */
    @Test
    void theLongestIdleValidatedOneGivesWayWhereThereAreTooMany() {
        Connection idle = validated(20);
        List<Connection> all = List.of(validated(5), idle, unvalidated(500), new Connection(true, 90, false));
        assertEquals(Optional.of(idle), policy.chooseValidated(all));
    }

    /** Guards against a connection that cannot be chosen as it was used after the search had begun. */
    @Test
    void aConnectionThatIsUsedDuringTheSearchCanBeChosen() {
        Connection slow = new Connection(true, 50, false) {
            @Override
            public boolean isEvictable() {
                nowMs.addAndGet(100); // asks the system
                return false;
            }
        };
        Connection justUsed = validated(1);
        assertEquals(Optional.of(justUsed), policy.chooseValidated(List.of(slow, justUsed)));
    }
}
