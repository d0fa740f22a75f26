package maplespread.worker;

import maplespread.http.HttpConnection;

/** An attempt in flight, as far as other threads may end it. Guarded by its own monitor. */
final class RunningAttempt {
    private HttpConnection connection;
    private boolean cancelled;

    /** The connection that it goes over from now on; closed at once where the attempt was cancelled before. */
    synchronized void use(HttpConnection used) {
        connection = used;
        if (cancelled) {
            used.close();
        }
    }

    /** Closes its connection, which wakes the thread that waits on it. */
    synchronized void cancel() {
        cancelled = true;
        if (connection != null) {
            connection.close();
        }
    }

    /** Ends a write that the worker does not take in; a read ends by its own limit. */
    synchronized void cutIfStuck() {
        if (connection != null) {
            connection.cutIfStuck(0);
        }
    }

    synchronized boolean cancelled() {
        return cancelled;
    }
}
