package maplespread;

import org.tinylog.Logger;

/**
 * The program's phases, from start to exit. They move forward only, save for the ways back from a reload and
 * from a drain by call.
 */
public final class Lifecycle {
    /**
     * STARTING: the configuration is read, nothing is open. SERVING: all is on. RELOADING: as before it,
     * while a new configuration is read, checked and applied. QUIESCED: drained by call; not ready, but
     * accepting and serving as ever, while connections end with their answers. DRAINING: told to end; no
     * longer ready, still accepting for a moment, and still serving the connections that are open. FINISHING:
     * these end, what was taken is finished. STOPPED: all taken work has been answered, or its time is over.
     */
    public enum Phase {
        STARTING,
        SERVING,
        RELOADING,
        QUIESCED,
        DRAINING,
        FINISHING,
        STOPPED
    }

    private Phase phase = Phase.STARTING;
    private Phase settled = Phase.SERVING; // where a reload goes back to

    public synchronized Phase phase() {
        return phase;
    }

    /** Whether clients are to be sent here. */
    public boolean serving() {
        return in(Phase.SERVING);
    }

    /** Whether clients have been sent away by call. */
    public boolean quiesced() {
        return in(Phase.QUIESCED);
    }

    /** Whether clients that come are taken. */
    public boolean accepting() {
        return serving() || quiesced();
    }

    /** Whether connections end with their answers: after a drain by call, and when finishing. */
    public synchronized boolean closingConnections() {
        return settled == Phase.QUIESCED || phase.ordinal() >= Phase.FINISHING.ordinal();
    }

    private synchronized boolean in(Phase asked) {
        return phase == asked || phase == Phase.RELOADING && settled == asked;
    }

    /** Sends clients away; true where they are, also from before. False outside of service. */
    public synchronized boolean quiesce() {
        return settle(Phase.QUIESCED);
    }

    /** Has clients come again; true where they may, also from before. False outside of service. */
    public synchronized boolean resume() {
        return settle(Phase.SERVING);
    }

    private boolean settle(Phase now) {
        if (!accepting()) {
            return false;
        }
        if (!in(now)) {
            Logger.info("{} after {}, by call", now, settled);
            settled = now;
            phase = phase == Phase.RELOADING ? phase : now;
            notifyAll();
        }
        return true;
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
        synchronized (this) {
            phase = accepting() ? Phase.RELOADING : phase;
        }
        try {
            work.run();
        } finally {
            synchronized (this) {
                if (phase == Phase.RELOADING) {
                    phase = settled;
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
