package maplespread.release.client;

import java.util.HashSet;
import java.util.Set;
import java.util.function.LongConsumer;

/** Outages by which no member can be drained any more, until the controller has heard of them. Thread-safe. */
final class CancelledOutages {
    private final Set<Long> numbers = new HashSet<>();

    synchronized void add(long outageNumber) {
        numbers.add(outageNumber);
    }

    /** Hands over and forgets all that were added. */
    synchronized void drainTo(LongConsumer consumer) {
        numbers.forEach(consumer::accept);
        numbers.clear();
    }
}
