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

/**
 * Accepts client connections and keeps their number within its limit. Accepting runs on a thread of its own; the other
 * methods may be called by any thread.
 */
public final class ClientListener implements Runnable {
    private static final int POLL_MS = 100;
    /** The listener closes when nobody has come for so long, */
    private static final int LAST_ACCEPT_MS = 50;
    /** or after this, though newcomers do not end. */
    private static final long MAX_LAST_ACCEPT_MS = 200;

    /** How often, a millisecond apart, room is looked for while bytes are on their way to be read. */
    private static final int MAX_ROOM_RETRIES = 5;
    /** Silence counts so many times where no acceptable request ever came. */
    private static final int UNTRIED_FACTOR = 10;

    private static final int ACCEPT_FAULT_PAUSE_MS = 20;
    private static final long NANOS_PER_MS = 1_000_000;

    private final ServerSocket server;
    private final ServingContext context;
    private final ExecutorService connectionThreads;
    /** A few, for connections beyond the limit. */
    private final ExecutorService overLimitThreads;

    private final Set<ClientConnection> connections = ConcurrentHashMap.newKeySet();
    /** When the last connection that had brought an acceptable request ended. */
    private volatile long lastUsefulEndNanos = System.nanoTime() - Long.MAX_VALUE / 2;

    private volatile boolean closing;
    private volatile boolean closed;

    /** {@code overLimitThreads}: for connections beyond the limit, each of which has one request rejected. */
    public ClientListener(
            ServerSocket server,
            ServingContext context,
            ExecutorService connectionThreads,
            ExecutorService overLimitThreads) {
        this.server = server;
        this.context = context;
        this.connectionThreads = connectionThreads;
        this.overLimitThreads = overLimitThreads;
    }

    /**
     * The kernel's accept already counts as taken, so every connection is accepted and read, to the last one in the queue
     * when the listener closes; what exceeds the limit is answered with a rejection. On a loaded machine a connection that
     * is open for its client comes into the queue some milliseconds later: the last look waits for it, save where
     * newcomers do not end, as beside the process that takes over.
     */
    @Override
    public void run() {
        long closingSinceNanos = 0;
        while (true) {
            boolean last = closing;
            if (last && closingSinceNanos == 0) {
                closingSinceNanos = System.nanoTime();
            }
            try {
                server.setSoTimeout(last ? lastAcceptMs(closingSinceNanos) : POLL_MS);
                serve(server.accept());
            } catch (SocketTimeoutException e) {
                if (last) {
                    break;
                }
            } catch (IOException | RuntimeException | Error e) { // out of descriptors, say: it must go on
                Logger.warn("accept failed: {}", e.getMessage());
                pause(ACCEPT_FAULT_PAUSE_MS);
            }
        }
        try {
            server.close();
        } catch (IOException e) {
            Logger.warn("closing the listener failed: {}", e.getMessage());
        }
        closed = true;
    }

    private static int lastAcceptMs(long closingSinceNanos) {
        boolean longEnough = System.nanoTime() - closingSinceNanos > MAX_LAST_ACCEPT_MS * NANOS_PER_MS;
        return longEnough ? 1 : LAST_ACCEPT_MS;
    }

    private void serve(Socket socket) throws IOException {
        HttpConnection connection;
        try {
            connection = new HttpConnection(socket);
        } catch (IOException e) {
            socket.close(); // it has been reset meanwhile
            throw e;
        }
        evictIdleUseful();
        boolean withinLimit = makeRoom();
        ClientConnection client = new ClientConnection(connection, context, !withinLimit);
        connections.add(client);
        Runnable work = () -> {
            try {
                client.run();
            } finally {
                if (client.useful()) {
                    lastUsefulEndNanos = System.nanoTime();
                }
                connections.remove(client);
            }
        };
        try {
            (withinLimit ? connectionThreads : overLimitThreads).execute(work);
        } catch (RejectedExecutionException | OutOfMemoryError e) { // no thread is left to read it
            connections.remove(client);
            client.rejectUnread();
        }
    }

    /**
     * Makes room for one more connection at the cost of one that holds no whole request: the longest silent, where silence
     * counts {@link #UNTRIED_FACTOR} times for one that never brought an acceptable request. Accepting must not wait: useful
     * clients stand in the same queue as a crowd, and their time runs. Closing an idle connection of a useful client costs
     * it a new one, closing a newcomer's costs its first request, whose bytes are on their way.
     */
    private boolean makeRoom() {
        if (connections.size() < context.limits().get().clientConnections()) {
            return true;
        }
        boolean evicted = evictLongestSilent(1, UNTRIED_FACTOR);
        for (int i = 0;
                i < MAX_ROOM_RETRIES && !evicted && connections.stream().anyMatch(ClientConnection::untried);
                i++) {
            pause(1); // bytes have come, and will now be read
            evicted = evictLongestSilent(1, UNTRIED_FACTOR);
        }
        return evicted;
    }

    /**
     * Ends the longest idle useful connection where there are many. A third of the descriptors is all that clients may
     * hold: connections that they keep and do not use would leave them none for their next requests.
     */
    private void evictIdleUseful() {
        long useful = connections.stream()
                .filter(client -> client.useful() && !client.closing())
                .count();
        if (useful > context.limits().get().servedClientConnections()) {
            evictLongestSilent(1, 0);
        }
    }

    /** Ends the longest silent; another where a request came to it in that moment. False where there is none. */
    private boolean evictLongestSilent(int usefulFactor, int untriedFactor) {
        ClientConnection silent = longestSilent(usefulFactor, untriedFactor);
        while (silent != null && !silent.closeNow()) {
            silent = longestSilent(usefulFactor, untriedFactor);
        }
        if (silent != null) {
            context.metrics().connectionEvicted();
        }
        return silent != null;
    }

    private ClientConnection longestSilent(int usefulFactor, int untriedFactor) {
        long nowNanos = System.nanoTime();
        ClientConnection found = null;
        long longest = 0;
        for (ClientConnection client : connections) {
            long silence = (nowNanos - client.quietSinceNanos()) * (client.useful() ? usefulFactor : untriedFactor);
            if (silence > longest && !client.closing() && client.silent()) {
                found = client;
                longest = silence;
            }
        }
        return found;
    }

    /** How many client connections are open. */
    public int size() {
        return connections.size();
    }

    /** Ends the connections whose clients do not read their responses, and forgets expired ids. */
    public void sweep() {
        connections.forEach(ClientConnection::cutIfStuck);
        context.recentIds().removeExpired();
    }

    /** Stops accepting once the queue is empty. */
    public void close() {
        closing = true;
    }

    /** Whether nothing is accepted any more. */
    public boolean closed() {
        return closed;
    }

    /**
     * Whether a connection is open, or a useful one was within {@code graceMs} milliseconds: others may be on their way.
     */
    public boolean hasRecentClients(long graceMs) {
        return !connections.isEmpty() || System.nanoTime() - lastUsefulEndNanos < graceMs * NANOS_PER_MS;
    }

    /**
     * Has the connections end that wait for a request; whether none is left, and none can come. What is accepted last may
     * come between the two looks, so the one at the listener is the first.
     */
    public boolean closeIdleConnections() {
        boolean acceptsNone = closed;
        for (ClientConnection client : connections) {
            if (client.quiet()) {
                client.closeWhenIdle();
            }
        }
        return acceptsNone && connections.isEmpty();
    }

    /** Has the connections end that have been quiet for {@code quietMs} milliseconds. */
    public void endQuiet(long quietMs) {
        long beforeNanos = System.nanoTime() - quietMs * NANOS_PER_MS;
        for (ClientConnection client : connections) {
            if (client.quiet() && client.quietSinceNanos() - beforeNanos < 0) {
                client.closeWhenIdle();
            }
        }
    }

    /** Answers what is still in flight as failed. */
    public void failAll() {
        connections.forEach(ClientConnection::fail);
    }

    private static void pause(long pauseMs) {
        try {
            Thread.sleep(pauseMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
