package maplespread.lab.rig;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** What the stand-ins saw for themselves: each order where it came to a worker, each answer at its client. */
final class EventRecord {
    /** A job with a key at a worker. */
    static final class Run {
        private final String id;
        private final String key;
        private final long start = System.nanoTime();
        private volatile long end = Long.MAX_VALUE;

        private Run(String id, String key) {
            this.id = id;
            this.key = key;
        }

        void end() {
            end = System.nanoTime();
        }
    }

    private final Map<String, AtomicInteger> orders = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<String> wrongs = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Run> runs = new ConcurrentLinkedQueue<>();
    final ConcurrentLinkedQueue<OrderingChecker.Asked> asks = new ConcurrentLinkedQueue<>(); // jobs with a key
    final LongAdder asked = new LongAdder();
    final LongAdder served = new LongAdder();
    final LongAdder inAim = new LongAdder();
    final LongAdder refused = new LongAdder();
    final LongAdder failed = new LongAdder();
    final LongAdder excused = new LongAdder(); // their dispatcher was killed
    final LongAdder jobs = new LongAdder(); // that came to workers
    final LongAdder probes = new LongAdder();
    final LongAdder dials = new LongAdder();
    final LongAdder cutOff = new LongAdder(); // orders cut off when they had come
    final LongAdder lists = new LongAdder(); // calls for the list

    /** An order has come to a worker whole: from here on it may have run. */
    void order(String id) {
        int times = orders.computeIfAbsent(id, k -> new AtomicInteger()).incrementAndGet();
        if (times > 1) {
            wrong("order " + id + " came to workers " + times + " times");
        }
    }

    /** A job with a key has come to a worker whole. */
    Run began(String id, String key) {
        Run run = new Run(id, key);
        runs.add(run);
        return run;
    }

    List<OrderingChecker.Ran> ran() {
        return runs.stream()
                .map(r -> new OrderingChecker.Ran(r.id, r.key, r.start, r.end))
                .toList();
    }

    void wrong(String what) {
        wrongs.add(what);
    }

    List<String> wrongs() {
        return List.copyOf(wrongs);
    }

    int orders() {
        return orders.size();
    }

    @Override
    public String toString() {
        return "asked " + asked + ", served " + served + " (in aim " + inAim + "), refused " + refused
                + ", failed " + failed + ", excused " + excused + "; at workers: jobs " + jobs + ", orders "
                + orders.size() + ", probes " + probes + ", dials " + dials + "; lists " + lists;
    }
}
