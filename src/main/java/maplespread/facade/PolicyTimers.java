package maplespread.facade;

import java.util.PriorityQueue;

/** The policy's timers, in the order in which they are due. Guarded by the service's lock. */
final class PolicyTimers {
    private record Timer(long dueUs, long sequence, long label) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return dueUs != other.dueUs ? Long.compare(dueUs, other.dueUs) : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private long lastSequence;

    /** Adds a timer; timers due at the same time expire in the order in which they were added. */
    void add(long dueUs, long label) {
        timers.add(new Timer(dueUs, ++lastSequence, label));
    }

    /** Whether a timer is due at {@code nowUs}. */
    boolean isDue(long nowUs) {
        return !timers.isEmpty() && timers.peek().dueUs() <= nowUs;
    }

    /** Removes the first timer and returns its label. There must be one. */
    long removeFirst() {
        return timers.remove().label();
    }

    /** The time at which the first timer is due, but {@code limitUs} at the latest. */
    long nextDueUs(long limitUs) {
        return timers.isEmpty() ? limitUs : Math.min(limitUs, timers.peek().dueUs());
    }
}
