package maplespread.caller;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import maplespread.http.HttpConnection;
import org.tinylog.Logger;

/** Accepts client connections and keeps the set of caller legs within its size. */
public final class ClientListener implements Runnable {
    private static final int POLL_MS = 100;
    private static final int LAST_MS = 50; // in which nobody comes, then it closes
    private static final long MOST_LAST_MS = 200; // but no longer than this
    private static final int MOMENTS = 5;
    private static final int UNTRIED = 10;
    private final ServerSocket server;
    private final ServingContext service;
    private final ExecutorService legThreads;
    private final ExecutorService spareThreads; // a few, for connections beyond the size
    private final Set<ClientConnection> legs = ConcurrentHashMap.newKeySet();
    private volatile long jobsAt = System.nanoTime() - Long.MAX_VALUE / 2; // the last leg's with any
    private volatile boolean closing;
    private volatile boolean closed;

    public ClientListener(
            ServerSocket server, ServingContext service, ExecutorService legThreads, ExecutorService spareThreads) {
        this.server = server;
        this.service = service;
        this.legThreads = legThreads;
        this.spareThreads = spareThreads;
    }

    /**
     * The kernel's accept already counts as taken, so every connection is accepted and read, to the last one
     * in the queue when the listener closes; what exceeds the size is answered with a refusal. On a loaded
     * machine a connection that is open for its client comes into the queue some milliseconds later: the last
     * look waits for it, save where newcomers do not end, as beside the process that takes over.
     */
    @Override
    public void run() {
        long since = 0;
        while (true) {
            boolean last = closing;
            since = last && since == 0 ? System.nanoTime() : since;
            boolean enough = last && System.nanoTime() - since > MOST_LAST_MS * 1_000_000;
            try {
                server.setSoTimeout(enough ? 1 : last ? LAST_MS : POLL_MS);
                serve(server.accept());
            } catch (SocketTimeoutException none) {
                if (last) {
                    break;
                }
            } catch (IOException | RuntimeException | Error e) { // out of descriptors, say: it must go on
                Logger.warn("accept failed: {}", e.getMessage());
                pause(20);
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
        HttpConnection connection;
        try {
            connection = new HttpConnection(socket);
        } catch (IOException e) {
            socket.close(); // it has been reset meanwhile
            throw e;
        }
        freeClients();
        boolean room = room();
        ClientConnection leg = new ClientConnection(connection, service, !room);
        legs.add(leg);
        Runnable work = () -> {
            try {
                leg.run();
            } finally {
                if (leg.useful()) {
                    jobsAt = System.nanoTime();
                }
                legs.remove(leg);
            }
        };
        try {
            (room ? legThreads : spareThreads).execute(work);
        } catch (RejectedExecutionException | OutOfMemoryError e) { // no thread is left to read it
            legs.remove(leg);
            leg.refuse();
        }
    }

    /**
     * Makes room for one more leg at the cost of one that holds no whole request: the longest silent, where
     * silence counts ten times for one that never brought a job. The accepting must not wait: useful clients
     * stand in the same queue as a crowd, and their time runs. Closing an idle connection of a useful client
     * costs it a new one, closing a newcomer's costs its first request, whose bytes are on their way.
     */
    private boolean room() {
        if (legs.size() < service.limits().get().clientConnections()) {
            return true;
        }
        boolean ended = end(1, UNTRIED);
        for (int i = 0; i < MOMENTS && !ended && legs.stream().anyMatch(ClientConnection::untried); i++) {
            pause(1); // bytes have come, and will now be read
            ended = end(1, UNTRIED);
        }
        return ended;
    }

    /**
     * Ends the longest idle useful leg where there are many. A third of the descriptors is all that clients
     * may hold: connections that they keep and do not use would leave them none for their next requests.
     */
    private void freeClients() {
        if (legs.stream().filter(l -> l.useful() && !l.ending()).count()
                > service.limits().get().servedClientConnections()) {
            end(1, 0);
        }
    }

    /** Ends the longest silent; another where a request came to it in that moment. */
    private boolean end(int useful, int untried) {
        ClientConnection silent = longestSilent(useful, untried);
        while (silent != null && !silent.end()) {
            silent = longestSilent(useful, untried);
        }
        if (silent != null) {
            service.metrics().shed();
        }
        return silent != null;
    }

    /** Silence counts so many times for useful legs and for those that never brought a job. */
    private ClientConnection longestSilent(int useful, int untried) {
        long now = System.nanoTime();
        ClientConnection found = null;
        long most = 0;
        for (ClientConnection leg : legs) {
            long silence = (now - leg.quietSince()) * (leg.useful() ? useful : untried);
            if (silence > most && !leg.ending() && leg.silent()) {
                found = leg;
                most = silence;
            }
        }
        return found;
    }

    /** How many client connections are open. */
    public int size() {
        return legs.size();
    }

    /** Ends the legs whose clients do not read their answers, and forgets ids of long ago. */
    public void sweep() {
        legs.forEach(ClientConnection::cutIfStuck);
        service.recentIds().removeExpired();
    }

    /** Stops accepting once the queue is empty. */
    public void close() {
        closing = true;
    }

    /** Whether nothing is accepted any more. */
    public boolean closed() {
        return closed;
    }

    /** Whether a leg that brought jobs is there, or was so shortly ago: its like may be on their way. */
    public boolean wanted(long ms) {
        return !legs.isEmpty() || System.nanoTime() - jobsAt < ms * 1_000_000;
    }

    /**
     * Has the legs end that wait for a request; whether none is left, and none can come. What is accepted
     * last may come between the two looks, so the one at the listener is the first.
     */
    public boolean over() {
        boolean last = closed;
        for (ClientConnection leg : legs) {
            if (leg.quiet()) {
                leg.part();
            }
        }
        return last && legs.isEmpty();
    }

    /** Has the legs end that have been quiet for so long. */
    public void endQuiet(long ms) {
        long before = System.nanoTime() - ms * 1_000_000;
        for (ClientConnection leg : legs) {
            if (leg.quiet() && leg.quietSince() - before < 0) {
                leg.part();
            }
        }
    }

    /** Answers what is still in work as failed. */
    public void failAll() {
        legs.forEach(ClientConnection::fail);
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
