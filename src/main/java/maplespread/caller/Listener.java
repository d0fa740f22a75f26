package maplespread.caller;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import maplespread.http.HttpConnection;
import org.tinylog.Logger;

/** Accepts client connections and keeps the set of caller legs within its size. */
public final class Listener implements Runnable {
    private static final int POLL_MS = 100;
    private final ServerSocket server;
    private final Service service;
    private final ExecutorService legThreads;
    private final ExecutorService spareThreads;                  // a few, for connections beyond the size
    private final Set<CallerLeg> legs = ConcurrentHashMap.newKeySet();
    private volatile boolean closing;
    private volatile boolean closed;

    public Listener(ServerSocket server, Service service, ExecutorService legThreads,
            ExecutorService spareThreads) {
        this.server = server;
        this.service = service;
        this.legThreads = legThreads;
        this.spareThreads = spareThreads;
    }

    /**
     * The kernel's accept already counts as taken, so every connection is accepted and read, to the last one
     * in the queue when the listener closes; what exceeds the size is answered with a refusal.
     */
    @Override public void run() {
        while (true) {
            boolean last = closing;
            try {
                server.setSoTimeout(last ? 1 : POLL_MS);
                serve(server.accept());
            } catch (SocketTimeoutException none) {
                if (last) {
                    break;
                }
            } catch (IOException | RuntimeException | Error e) { // out of descriptors, say: it must go on
                Logger.warn("accept failed: {}", e.getMessage());
                pause();
            }
        }
        try {
            server.close();
        } catch (IOException e) {
            Logger.warn("closing the listener failed: {}", e.getMessage());
        }
        closed = true;
    }

    private void serve(Socket socket) throws IOException {
        boolean room = legs.size() < service.config().sizes().legs();
        if (!room) {
            Optional<CallerLeg> idle = legs.stream().filter(l -> l.idle() && l.end()).findFirst();
            room = idle.isPresent();
        }
        CallerLeg leg = new CallerLeg(new HttpConnection(socket), service, !room);
        legs.add(leg);
        Runnable work = () -> {
            try {
                leg.run();
            } finally {
                legs.remove(leg);
            }
        };
        try {
            (room ? legThreads : spareThreads).execute(work);
        } catch (RejectedExecutionException | OutOfMemoryError e) {    // no thread is left: this one must do
            leg.turnAway();
            work.run();
        }
    }

    /** How many client connections are open. */
    public int size() {
        return legs.size();
    }

    /** Ends the legs whose clients do not read their answers. */
    public void sweep() {
        legs.forEach(CallerLeg::cutIfStuck);
    }

    /** Stops accepting once the queue is empty. */
    public void close() {
        closing = true;
    }

    /** Whether nothing is accepted any more. */
    public boolean closed() {
        return closed;
    }

    /** Ends the legs that wait for a request; returns how many legs are left. */
    public int endIdle() {
        for (CallerLeg leg : legs) {
            if (leg.idle()) {
                leg.end();
            }
        }
        return legs.size();
    }

    private static void pause() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
