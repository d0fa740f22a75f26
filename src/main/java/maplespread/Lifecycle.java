package maplespread;

import org.tinylog.Logger;

/** The program's phases, from start to exit. Phases only move forward. */
public final class Lifecycle {
    /**
     * STARTING: the configuration is read, nothing is open. SERVING: all is on. DRAINING: told to end;
     * still accepting, no longer ready. FINISHING: nothing new is accepted, what was taken is finished.
     * STOPPED: all taken work has been answered, or its time is over.
     */
    public enum Phase { STARTING, SERVING, DRAINING, FINISHING, STOPPED }

    private Phase phase = Phase.STARTING;

    public synchronized Phase phase() {
        return phase;
    }

    public boolean serving() {
        return phase() == Phase.SERVING;
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

    /** Waits until the phase is reached. */
    public synchronized void await(Phase awaited) throws InterruptedException {
        while (phase.ordinal() < awaited.ordinal()) {
            wait();
        }
    }
}
