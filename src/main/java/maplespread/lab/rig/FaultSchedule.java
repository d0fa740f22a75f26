package maplespread.lab.rig;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import maplespread.lab.rig.GroupLinks.Trouble;

/**
 * Faults drawn from a seed and thrown at a rig for a while, each undone after its time. What is drawn is the
 * same each time; when it falls depends on the machine, so verdicts rest on rules and not on times.
 */
public final class FaultSchedule {
    /** A fault that is to be undone. */
    private interface Undo {
        void run() throws IOException, InterruptedException;
    }

    private record Later(long atNanos, Undo undo) {}

    private static final FaultLink.Fault[] FAULTS = {
        FaultLink.Fault.CUT, FaultLink.Fault.DEAF, FaultLink.Fault.RESET, FaultLink.Fault.LATE, FaultLink.Fault.SLOW
    };
    private final Rig rig;
    private final SplittableRandom random;
    private final PriorityQueue<Later> later = new PriorityQueue<>(Comparator.comparingLong(Later::atNanos));
    private final List<String> thrown = new ArrayList<>();
    private final boolean[] struck; // a dispatcher that is down or paused
    private final Kinds kinds;

    /** What befalls the rig: beside all that is not among dispatchers, more and more of what is. */
    enum Kinds {
        ALONE(6, Long.MAX_VALUE),
        LINKS(8, Long.MAX_VALUE),
        ORDER(10, 400);

        private final int count;
        private final long cutMs; // a way to workers is cut no longer

        Kinds(int count, long cutMs) {
            this.count = count;
            this.cutMs = cutMs;
        }
    }

    public FaultSchedule(Rig rig, long seed) {
        this(rig, seed, Kinds.ALONE);
    }

    FaultSchedule(Rig rig, long seed, Kinds kinds) {
        this.rig = rig;
        random = new SplittableRandom(seed);
        struck = new boolean[rig.dispatchers.size()];
        this.kinds = kinds;
    }

    /** So many faults, one after the other; all are undone when it returns. What was thrown. */
    public List<String> blow(int faults, long gapMs) throws IOException, InterruptedException {
        return blow(i -> i < faults, gapMs);
    }

    /** One fault after the other while more are wanted, by how many there were. */
    public List<String> blow(IntPredicate more, long gapMs) throws IOException, InterruptedException {
        for (int i = 0; more.test(i); i++) {
            one(i % kinds.count);
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

    /** Strikes one that is neither down nor about to be: what leaves by itself comes back by itself. */
    private boolean strike(int d) {
        int all = 0;
        for (boolean s : struck) {
            all += s ? 1 : 0;
        }
        // A majority of electors that starts anew at once forgets what was agreed: not this play's matter.
        if (struck[d]
                || rig.dispatchers.get(d).out()
                || kinds == Kinds.ORDER && all >= (Math.min(Rig.ELECTORS, struck.length) - 1) / 2) {
            return false;
        }
        struck[d] = true;
        return true;
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
            case 0, 1 -> { // between one dispatcher and some workers
                FaultLink.Fault fault = FAULTS[random.nextInt(FAULTS.length)];
                List<FaultLink> ways = new ArrayList<>();
                for (int i = 0; i < Math.max(1, rig.workers.size() / 4); i++) {
                    ways.add(rig.workers.get((w + i) % rig.workers.size()).ways[d]);
                }
                ways.forEach(x -> x.fault = fault);
                thrown.add(fault + " n" + d + " to " + ways.size() + " workers from w-" + w);
                // What is held on the way runs when it is over, within what the rules say of a job's longest.
                undoAfter(
                        fault == FaultLink.Fault.CUT ? Math.min(ms, kinds.cutMs) : ms,
                        () -> ways.forEach(x -> x.fault = FaultLink.Fault.NONE));
            }
            case 2 -> {
                if (strike(d)) {
                    rig.dispatchers.get(d).signal("STOP");
                    thrown.add("pause n" + d);
                    undoAfter(ms, () -> {
                        rig.dispatchers.get(d).signal("CONT");
                        struck[d] = false;
                    });
                }
            }
            case 3 -> {
                kill(d, ms);
            }
            case 4 -> {
                if (rig.discovery.state(rig.workers.get(w)).equals("SERVING")) {
                    rig.restartWorker(w);
                    thrown.add("restart w-" + w);
                }
            }
            case 6 -> { // one way, or both, or all ways of one
                int to = (d + 1 + random.nextInt(rig.dispatchers.size() - 1)) % rig.dispatchers.size();
                int how = random.nextInt(3);
                for (int i = 0; i < rig.dispatchers.size(); i++) {
                    if (i == to || how == 2) {
                        links(d, i, Trouble.CUT, how > 0);
                    }
                }
                thrown.add("cut links n" + d + " to n" + to + ", " + how);
                undoAfter(ms, () -> rig.links.all(Trouble.NONE));
            }
            case 7 -> {
                Trouble bad = new Trouble(
                        false,
                        random.nextDouble() * 0.4,
                        random.nextDouble() * 0.5,
                        random.nextLong(100),
                        random.nextLong(200));
                rig.links.all(bad);
                thrown.add("links " + bad);
                undoAfter(ms, () -> rig.links.all(Trouble.NONE));
            }
            case 8 -> {
                rig.relays.cut();
                thrown.add("connections between dispatchers cut");
            }
            case 9 -> {
                if (strike(d)) {
                    call(d, "quiesce");
                    undoAfter(ms, () -> {
                        call(d, "resume");
                        struck[d] = false;
                    });
                }
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

    private void kill(int d, long ms) throws IOException, InterruptedException {
        if (strike(d)) {
            rig.kill(d);
            thrown.add("kill n" + d);
            undoAfter(ms, () -> {
                rig.restart(d);
                struck[d] = false;
            });
        }
    }

    private void call(int d, String what) throws IOException {
        for (int tries = 1; ; tries++) {
            try {
                thrown.add(what + " n" + d + ": " + rig.dispatchers.get(d).call("POST", "/admin/" + what, ""));
                return;
            } catch (IOException slow) {
                if (tries == 5) {
                    throw slow;
                }
            }
        }
    }

    /** Kills that one with the next fault. */
    void killSoon(int d) {
        later.add(new Later(System.nanoTime(), () -> kill(d, 1000)));
    }

    private void links(int from, int to, Trouble trouble, boolean both) {
        rig.links.set(from, to, trouble);
        if (both) {
            rig.links.set(to, from, trouble);
        }
    }
}
