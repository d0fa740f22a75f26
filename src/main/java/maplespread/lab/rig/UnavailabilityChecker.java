package maplespread.lab.rig;

import java.io.Closeable;
import java.util.ArrayList;
import java.util.List;

/**
 * Who is out, as the rig itself sees it: by its processes, their logs, and what it has listed. Nothing of
 * it is asked of what the dispatchers agree on. Looked at every few milliseconds.
 *
 * <p>A dispatcher that the rig has killed or stopped is out by accident; one that drained, and has not
 * served since, is out by leave. A worker is out by leave from its drain until it is warm again. What
 * leaves may never pass the limit; and where accidents have used it up, and the fleet could know, none may
 * begin.
 */
final class UnavailabilityChecker implements Closeable {
    /** How many may be out. */
    record Limits(int dispatchers, int workers, int zone) {}

    private static final long LOOK_MS = 5;
    private static final long KNOWN_MS = 8_000; // so old, it must be known
    private final Rig rig;
    private final Limits limits;
    private final boolean judge;
    private final boolean[] known; // accidents that the fleet has told of
    private volatile boolean over;
    private int leaves; // dispatchers, at the last look
    private int most;
    private int mostWorkers;
    private int mostZone;
    private double least = 1;
    private long begunAt = System.nanoTime();

    /** {@code judge}: whether what is over the limits is a wrong; it is counted in any case. */
    UnavailabilityChecker(Rig rig, Limits limits, boolean judge) {
        this.rig = rig;
        this.limits = limits;
        this.judge = judge;
        known = new boolean[rig.dispatchers.size()];
        LoopbackListeners.daemon("out", () -> {
            while (!over) {
                look();
                Thread.sleep(LOOK_MS);
            }
        });
    }

    private synchronized void look() {
        int out = 0;
        int accidents = 0;
        long now = System.nanoTime();
        List<String> who = new ArrayList<>();
        for (int d = 0; d < rig.dispatchers.size(); d++) {
            ServeProcess p = rig.dispatchers.get(d);
            long struck = p.struckAt();
            known[d] &= struck != 0;
            if (p.drained()) {
                out++;
                who.add("n" + d);
            } else if (known[d] || struck != 0 && now - struck > KNOWN_MS * 1_000_000) {
                accidents++;
                who.add("n" + d + " by accident");
            }
        }
        if (out > leaves) {
            begunAt = now;
            int sum = out + accidents;
            wrong(sum > limits.dispatchers, "leave began with " + who + " out", sum, most);
        }
        leaves = out;
        wrong(out > limits.dispatchers, "out of " + limits.dispatchers + " dispatchers: " + who, out, most);
        most = Math.max(most, out);
        int workers = 0;
        int[] zones = new int[2];
        double can = 0;
        double full = 0;
        for (int w = 0; w < rig.workers.size(); w++) {
            RigWorker worker = rig.workers.get(w);
            full += worker.full();
            can += rig.discovery.state(worker).equals("SERVING") ? worker.capacity() : 0;
            if (worker.moved()) {
                workers++;
                zones[worker.zone.equals("a") ? 0 : 1]++;
            }
        }
        int zone = Math.max(zones[0], zones[1]);
        wrong(workers > limits.workers, "workers out", workers, mostWorkers);
        wrong(zone > limits.zone, "workers of a zone out", zone, mostZone);
        mostWorkers = Math.max(mostWorkers, workers);
        mostZone = Math.max(mostZone, zone);
        least = Math.min(least, can / full);
    }

    private void wrong(boolean is, String what, int now, int before) {
        if (is && judge && now > before) { // once for each new height
            rig.ledger.wrong("rig's count: " + what + ", " + now + " with limits " + limits);
        }
    }

    /** The most dispatchers that were out by leave at once. */
    synchronized int dispatchers() {
        return most;
    }

    synchronized int workers() {
        return mostWorkers;
    }

    synchronized int zone() {
        return mostZone;
    }

    /** The least share of the workers' capacity that was there at an instant. */
    synchronized double least() {
        return least;
    }

    /** The fleet has told of this one's accident: no leave may begin any more that it leaves no room for. */
    synchronized void known(int dispatcher) {
        known[dispatcher] = true;
    }

    /** When a dispatcher left last, in nanoseconds. */
    synchronized long begunAt() {
        return begunAt;
    }

    @Override
    public void close() {
        over = true;
    }
}
