package maplespread;

import org.tinylog.Logger;

/**
 * The program's phases, from start to exit. A phase is never entered again, except for the return from a reload and
 * from an operator's drain.
 */
public final class Lifecycle {
    /** A phase of the program, in the order in which the phases are entered. */
    public enum Phase {
        /** The configuration is read; no socket is open. */
        STARTING,
        /** Ready and serving. */
        SERVING,
        /** As in the phase before, while a new configuration is read, checked and applied. */
        RELOADING,
        /** Drained by an operator: not ready, but accepting and serving; each connection closes after its response. */
        QUIESCED,
        /** Shutting down: not ready, but accepting for a short time and serving the open connections. */
        DRAINING,
        /** The open connections close and the accepted requests are completed. */
        FINISHING,
        /** Every accepted request has its response, or the time for the shutdown is over. */
        STOPPED
    }

    private Phase phase = Phase.STARTING;
    /** The phase that a reload returns to: SERVING or QUIESCED. */
    private Phase servicePhase = Phase.SERVING;

    public synchronized Phase phase() {
        return phase;
    }

    /** Whether the dispatcher is ready for new clients. */
    public boolean serving() {
        return isIn(Phase.SERVING);
    }

    /** Whether an operator has drained the dispatcher. */
    public boolean quiesced() {
        return isIn(Phase.QUIESCED);
    }

    /** Whether new clients are accepted. */
    public boolean accepting() {
        return serving() || quiesced();
    }

    /** Whether each connection closes after its response: during an operator's drain, and from FINISHING on. */
    public synchronized boolean closingConnections() {
        return servicePhase == Phase.QUIESCED || phase.ordinal() >= Phase.FINISHING.ordinal();
    }

    private synchronized boolean isIn(Phase queried) {
        return phase == queried || phase == Phase.RELOADING && servicePhase == queried;
    }

    /** Starts an operator's drain; true also if one is in progress, false before and after service. */
    public synchronized boolean quiesce() {
        return changeServicePhase(Phase.QUIESCED);
    }

    /** Ends an operator's drain; true also if there is none, false before and after service. */
    public synchronized boolean resume() {
        return changeServicePhase(Phase.SERVING);
    }

    private boolean changeServicePhase(Phase next) {
        if (!accepting()) {
            return false;
        }
        if (!isIn(next)) {
            Logger.info("{} after {}, by call", next, servicePhase);
            servicePhase = next;
            phase = phase == Phase.RELOADING ? phase : next;
            notifyAll();
        }
        return true;
    }

    /** Enters a later phase; false if that phase, or a later one, has been reached. */
    public synchronized boolean enter(Phase next) {
        if (next.ordinal() <= phase.ordinal()) {
            return false;
        }
        Logger.info("{} after {}", next, phase);
        phase = next;
        notifyAll();
        return true;
    }

    /** Runs a reload. A shutdown in progress, or one that begins during the reload, continues. */
    public void reload(Runnable work) {
        synchronized (this) {
            phase = accepting() ? Phase.RELOADING : phase;
        }
        try {
            work.run();
        } finally {
            synchronized (this) {
                if (phase == Phase.RELOADING) {
                    phase = servicePhase;
                    Logger.info("{} again", phase);
                }
            }
        }
    }

    /** Blocks until the phase, or a later one, is reached. */
    public synchronized void await(Phase awaited) throws InterruptedException {
        while (phase.ordinal() < awaited.ordinal()) {
            wait();
        }
    }
}
