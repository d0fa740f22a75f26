package maplespread.lab.rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Faults drawn from a seed and thrown at a rig for a while, each undone after its time. What is drawn is the
 * same each time; when it falls depends on the machine, so verdicts rest on rules and not on times.
 */
public final class Storm {
    /** A fault that is to be undone. */
    private interface Undo {
        void run() throws IOException, InterruptedException;
    }

    private record Later(long atNanos, Undo undo) { }

    private static final Way.Fault[] FAULTS = {Way.Fault.CUT, Way.Fault.DEAF, Way.Fault.RESET, Way.Fault.LATE,
        Way.Fault.SLOW};
    private final Rig rig;
    private final SplittableRandom random;
    private final PriorityQueue<Later> later = new PriorityQueue<>(Comparator.comparingLong(Later::atNanos));
    private final List<String> thrown = new ArrayList<>();
    private final boolean[] struck;                              // a dispatcher that is down or paused

    public Storm(Rig rig, long seed) {
        this.rig = rig;
        random = new SplittableRandom(seed);
        struck = new boolean[rig.dispatchers.size()];
    }

    /** So many faults, one after the other; all are undone when it returns. What was thrown. */
    public List<String> blow(int faults, long gapMs) throws IOException, InterruptedException {
        for (int i = 0; i < faults; i++) {
            one(i % 6);
            await(System.nanoTime() + (gapMs / 2 + random.nextLong(gapMs)) * 1_000_000);
        }
        while (!later.isEmpty()) {
            await(later.peek().atNanos);
        }
        for (ServeProcess d : rig.dispatchers) {
            d.awaitServing();
        }
        return thrown;
    }

    private void await(long nanos) throws IOException, InterruptedException {
        while (true) {
            while (!later.isEmpty() && later.peek().atNanos <= System.nanoTime()) {
                later.remove().undo.run();
            }
            if (System.nanoTime() >= nanos) {
                return;
            }
            Thread.sleep(5);
        }
    }

    private void undoAfter(long ms, Undo undo) {
        later.add(new Later(System.nanoTime() + ms * 1_000_000, undo));
    }

    private void one(int kind) throws IOException, InterruptedException {
        int d = random.nextInt(rig.dispatchers.size());
        int w = random.nextInt(rig.workers.size());
        long ms = 300 + random.nextLong(1200);
        switch (kind) {
            case 0, 1 -> {                                       // between one dispatcher and some workers
                Way.Fault fault = FAULTS[random.nextInt(FAULTS.length)];
                List<Way> ways = new ArrayList<>();
                for (int i = 0; i < Math.max(1, rig.workers.size() / 4); i++) {
                    ways.add(rig.workers.get((w + i) % rig.workers.size()).ways[d]);
                }
                ways.forEach(x -> x.fault = fault);
                thrown.add(fault + " n" + d + " to " + ways.size() + " workers from w-" + w);
                undoAfter(ms, () -> ways.forEach(x -> x.fault = Way.Fault.NONE));
            }
            case 2 -> {
                if (!struck[d]) {
                    struck[d] = true;
                    rig.dispatchers.get(d).signal("STOP");
                    thrown.add("pause n" + d);
                    undoAfter(ms, () -> {
                        rig.dispatchers.get(d).signal("CONT");
                        struck[d] = false;
                    });
                }
            }
            case 3 -> {
                if (!struck[d]) {
                    struck[d] = true;
                    rig.kill(d);
                    thrown.add("kill n" + d);
                    undoAfter(ms, () -> {
                        rig.restart(d);
                        struck[d] = false;
                    });
                }
            }
            case 4 -> {
                rig.restartWorker(w);
                thrown.add("restart w-" + w);
            }
            default -> {
                boolean down = random.nextBoolean();
                rig.discovery.down(down);
                rig.discovery.late(down ? 0 : 300);
                thrown.add(down ? "discovery down" : "discovery late");
                undoAfter(ms, () -> {
                    rig.discovery.down(false);
                    rig.discovery.late(0);
                });
            }
        }
    }
}
