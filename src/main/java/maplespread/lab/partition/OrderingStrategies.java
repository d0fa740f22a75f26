package maplespread.lab.partition;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import maplespread.policy.ReproducibleMath;

/**
 * What the ways to keep order over a fleet cost without faults, in virtual microseconds: 20 dispatchers, 5
 * electors, 10,000 keys of which one has a third of the traffic. Deterministic by seed.
 */
public final class OrderingStrategies {
    /** One owner a slot, jobs handed on; a lock per key by majority; the owner's name told to clients. */
    public enum Way {
        OWNER,
        LOCK,
        NAME
    }

    /**
     * Milliseconds from a job's coming to its going out, of the hot key and of the others; {@code refused}:
     * the share of jobs whose client had to ask again; {@code inversions}: the share of jobs that went out
     * after one of their key that had come 1 ms later or more.
     */
    public record Figures(
            double p50,
            double p99,
            double hotP50,
            double hotP99,
            double messagesAJob,
            double refused,
            double inversions) {}

    private static final int DISPATCHERS = 20;
    private static final int ELECTORS = 5;
    private static final int KEYS = 10_000;
    private static final double WORK_US = 4000;
    private static final double JOBS = 20_000;

    private record Event(double at, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Double.compare(at, o.at) : Long.compare(order, o.order);
        }
    }

    private final class Job {
        final int key;
        final double came = now;
        int granted, refused;
        int tries;

        Job(int key) {
            this.key = key;
        }
    }

    private final Way way;
    private final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<Integer, Deque<Job>> lines = new HashMap<>();
    private final Set<Integer> out = new HashSet<>();
    private final List<Map<Integer, Job>> holders = new ArrayList<>();
    private final Map<Integer, Double> latest = new HashMap<>();
    private final List<Double> waits = new ArrayList<>();
    private final List<Double> hotWaits = new ArrayList<>();
    private double now;
    private long order, messages, refused, inversions;

    private OrderingStrategies(Way way, long seed) {
        this.way = way;
        random = new SplittableRandom(seed);
        for (int i = 0; i < ELECTORS; i++) {
            holders.add(new HashMap<>());
        }
    }

    /** {@code jobsAS}: over the whole fleet. */
    public static Figures play(Way way, double jobsAS, long seed) {
        OrderingStrategies w = new OrderingStrategies(way, seed);
        double at = 0;
        for (int i = 0; i < JOBS; i++) {
            at -= ReproducibleMath.log(1 - w.random.nextDouble()) * 1e6 / jobsAS;
            int key = w.random.nextInt(3) == 0 ? 0 : 1 + w.random.nextInt(KEYS);
            w.at(at, () -> w.come(w.new Job(key)));
        }
        while (!w.events.isEmpty()) {
            Event e = w.events.remove();
            w.now = e.at;
            e.what.run();
        }
        return new Figures(
                part(w.waits, 0.5),
                part(w.waits, 0.99),
                part(w.hotWaits, 0.5),
                part(w.hotWaits, 0.99),
                w.messages / JOBS,
                w.refused / JOBS,
                w.inversions / JOBS);
    }

    private static double part(List<Double> all, double share) {
        Collections.sort(all);
        return all.get((int) (all.size() * share)) / 1000;
    }

    private void at(double when, Runnable what) {
        events.add(new Event(when, ++order, what));
    }

    /** One message: 50 us and what the other's threads need, with a tail. */
    private void message(Runnable arrives) {
        messages++;
        at(now + 50 - ReproducibleMath.log(1 - random.nextDouble()) * 50, arrives);
    }

    private void come(Job job) {
        if (way == Way.LOCK) {
            claim(job);
        } else if (random.nextInt(DISPATCHERS) == 0) {
            line(job); // came to the owner by chance
        } else if (way == Way.OWNER) {
            message(() -> line(job));
        } else {
            refused++;
            message(() -> message(() -> line(job))); // to the client and back
        }
    }

    private void line(Job job) {
        lines.computeIfAbsent(job.key, k -> new ArrayDeque<>()).add(job);
        next(job.key);
    }

    private void next(int key) {
        Deque<Job> line = lines.get(key);
        if (!line.isEmpty() && out.add(key)) {
            start(line.remove());
        }
    }

    private void start(Job job) {
        (job.key == 0 ? hotWaits : waits).add(now - job.came);
        inversions += latest.getOrDefault(job.key, 0.0) > job.came + 1000 ? 1 : 0;
        latest.merge(job.key, job.came, Math::max);
        at(now + WORK_US * (0.5 + random.nextDouble()), () -> {
            if (way == Way.LOCK) {
                release(job);
            } else {
                messages += way == Way.OWNER ? 1 : 0; // the result goes back
                out.remove(job.key);
                next(job.key);
            }
        });
    }

    private void claim(Job job) {
        job.granted = 0;
        job.refused = 0;
        int mine = ++job.tries;
        for (Map<Integer, Job> elector : holders) {
            message(() -> {
                boolean free = elector.putIfAbsent(job.key, job) == null;
                message(() -> told(job, mine, free));
            });
        }
    }

    private void told(Job job, int asked, boolean free) {
        if (asked != job.tries) {
            return;
        }
        job.granted += free ? 1 : 0;
        job.refused += free ? 0 : 1;
        if (free && job.granted == ELECTORS / 2 + 1) {
            start(job);
        } else if (!free && job.refused == ELECTORS / 2 + 1) {
            release(job);
            // Longer with each try, at most as long as a job takes.
            double pause = Math.min(WORK_US, 200 * ReproducibleMath.pow(2, job.tries)) * (0.5 + random.nextDouble());
            at(now + pause, () -> claim(job));
        }
    }

    private void release(Job job) {
        for (Map<Integer, Job> elector : holders) {
            message(() -> elector.remove(job.key, job));
        }
    }
}
