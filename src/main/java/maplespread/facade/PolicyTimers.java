package maplespread.facade;

import java.util.PriorityQueue;

/** The timers that the policy has asked for, in the order in which they are due. Guarded by the service's lock. */
final class PolicyTimers {
    private record Timer(long dueUs, long order, long label) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return dueUs != other.dueUs ? Long.compare(dueUs, other.dueUs) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private long lastOrder;

    /** Adds a timer; of several that are due at one time the one added first comes first. */
    void add(long dueUs, long label) {
        timers.add(new Timer(dueUs, ++lastOrder, label));
    }

    /** Whether a timer is due at this time. */
    boolean isDue(long nowUs) {
        return !timers.isEmpty() && timers.peek().dueUs() <= nowUs;
    }

    /** Takes out the first timer and returns its label. There must be one. */
    long removeFirst() {
        return timers.remove().label();
    }

    /** When the first timer is due, or {@code otherwiseUs} where that comes before it or there is none. */
    long firstDueUs(long otherwiseUs) {
        return timers.isEmpty()
                ? otherwiseUs
                : Math.min(otherwiseUs, timers.peek().dueUs());
    }
}
