package maplespread;

import org.tinylog.Logger;

/** The program's phases, from start to exit. They move forward only, save for the way back from a reload. */
public final class Lifecycle {
    /**
     * STARTING: the configuration is read, nothing is open. SERVING: all is on. RELOADING: the same, while a
     * new configuration is read, checked and applied. DRAINING: told to end; no longer ready, still
     * accepting for a moment, and still serving the connections that are open. FINISHING: these end, what was
     * taken is finished. STOPPED: all taken work has been answered, or its time is over.
     */
    public enum Phase { STARTING, SERVING, RELOADING, DRAINING, FINISHING, STOPPED }

    private Phase phase = Phase.STARTING;

    public synchronized Phase phase() {
        return phase;
    }

    public boolean serving() {
        Phase now = phase();
        return now == Phase.SERVING || now == Phase.RELOADING;
    }

    /** Moves on; false where the phase has been reached before. */
    public synchronized boolean enter(Phase next) {
        if (next.ordinal() <= phase.ordinal()) {
            return false;
        }
        Logger.info("{} after {}", next, phase);
        phase = next;
        notifyAll();
        return true;
    }

    /** Does a reload's work. A shutdown that began before it, or begins meanwhile, goes on all the same. */
    public void reload(Runnable work) {
        enter(Phase.RELOADING);
        try {
            work.run();
        } finally {
            synchronized (this) {
                if (phase == Phase.RELOADING) {
                    phase = Phase.SERVING;
                    Logger.info("{} again", phase);
                }
            }
        }
    }

    /** Waits until the phase is reached. */
    public synchronized void await(Phase awaited) throws InterruptedException {
        while (phase.ordinal() < awaited.ordinal()) {
            wait();
        }
    }
}
