package maplespread.worker;

import maplespread.http.HttpConnection;

/** The state of an attempt in flight through which other threads can end it. Guarded by its own monitor. */
final class RunningAttempt {
    private HttpConnection connection;
    private boolean cancelled;

    /** Sets the attempt's connection; closes the connection at once if the attempt was cancelled before. */
    synchronized void use(HttpConnection newConnection) {
        connection = newConnection;
        if (cancelled) {
            newConnection.close();
        }
    }

    /** Closes the attempt's connection, which wakes the thread that waits on it. */
    synchronized void cancel() {
        cancelled = true;
        if (connection != null) {
            connection.close();
        }
    }

    /** Closes the connection, as a sign of a slow worker; false if none is in use. */
    synchronized boolean closeSlow() {
        if (connection == null) {
            return false;
        }
        connection.close();
        return true;
    }

    /** Closes the connection if a write is in progress, as when the worker does not read; reads have time limits. */
    synchronized void closeIfWriteStalled() {
        if (connection != null) {
            connection.closeIfWriteStalled(0);
        }
    }

    synchronized boolean cancelled() {
        return cancelled;
    }
}
