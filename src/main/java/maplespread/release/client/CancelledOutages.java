package maplespread.release.client;

import java.util.HashSet;
import java.util.Set;
import java.util.function.LongConsumer;

/** Collects outages by which no member can be drained any more, until the controller is notified. Thread-safe. */
final class CancelledOutages {
    private final Set<Long> numbers = new HashSet<>();

    synchronized void add(long outageNumber) {
        numbers.add(outageNumber);
    }

    /** Passes all collected numbers to the consumer and removes them. */
    synchronized void drainTo(LongConsumer consumer) {
        numbers.forEach(consumer::accept);
        numbers.clear();
    }
}
