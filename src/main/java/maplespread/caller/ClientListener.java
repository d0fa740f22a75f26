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
import java.util.function.Function;
import maplespread.http.HttpConnection;
import org.tinylog.Logger;

/**
 * Accepts client connections and keeps their number within its limit. A thread of its own accepts; the other methods
 * may be called by any thread. A connection counts as validated once it has brought an acceptable request.
 */
public final class ClientListener implements Runnable {
    private static final int POLL_MS = 100;
    /** Time in milliseconds without a new connection after which a closing listener closes. */
    private static final int LAST_ACCEPT_MS = 50;
    /** Maximum time in milliseconds that a closing listener still waits for new connections. */
    private static final long MAX_LAST_ACCEPT_MS = 200;

    /** Maximum number of further eviction attempts, one millisecond apart, while connections have unread bytes. */
    private static final int MAX_ROOM_RETRIES = 5;

    private static final int ACCEPT_RETRY_DELAY_MS = 20;
    private static final long NANOS_PER_MS = 1_000_000;

    private final ServerSocket serverSocket;
    private final ServingContext context;
    private final ExecutorService connectionThreads;
    /** A small pool for connections beyond the limit. */
    private final ExecutorService overLimitThreads;

    private final Set<ClientConnection> connections = ConcurrentHashMap.newKeySet();
    private final EvictionPolicy evictionPolicy = new EvictionPolicy(System::nanoTime);
    /** The time at which a validated connection last ended; far in the past if none has. */
    private volatile long lastValidatedEndNanos = System.nanoTime() - Long.MAX_VALUE / 2;

    private volatile boolean closing;
    private volatile boolean closed;

    /**
     * Creates a listener; {@link #run} starts accepting.
     *
     * @param overLimitThreads the threads for connections beyond the limit, each of which has one request rejected
     */
    public ClientListener(
            ServerSocket serverSocket,
            ServingContext context,
            ExecutorService connectionThreads,
            ExecutorService overLimitThreads) {
        this.serverSocket = serverSocket;
        this.context = context;
        this.connectionThreads = connectionThreads;
        this.overLimitThreads = overLimitThreads;
    }

    /**
     * Accepts connections until the listener is closed. A connection is open for its client once the kernel has
     * accepted it, so every connection is accepted and read, up to the last one in the queue when the listener closes;
     * connections beyond the limit are answered with a rejection. On a loaded machine a connection that is open for its
     * client enters the queue some milliseconds later, so the last accept waits for it. That wait is bounded, since new
     * connections may never cease while the process that takes over listens on the same address.
     */
    @Override
    public void run() {
        long closingSinceNanos = 0;
        while (true) {
            boolean lastAccept = closing;
            if (lastAccept && closingSinceNanos == 0) {
                closingSinceNanos = System.nanoTime();
            }
            try {
                serverSocket.setSoTimeout(lastAccept ? lastAcceptMs(closingSinceNanos) : POLL_MS);
                serve(serverSocket.accept());
            } catch (SocketTimeoutException e) {
                if (lastAccept) {
                    break;
                }
            } catch (IOException | RuntimeException | Error e) { // for example out of descriptors; accepting must go on
                Logger.warn("accept failed: {}", e.getMessage());
                sleep(ACCEPT_RETRY_DELAY_MS);
            }
        }
        try {
            serverSocket.close();
        } catch (IOException e) {
            Logger.warn("closing the listener failed: {}", e.getMessage());
        }
        closed = true;
    }

    private static int lastAcceptMs(long closingSinceNanos) {
        boolean limitReached = System.nanoTime() - closingSinceNanos > MAX_LAST_ACCEPT_MS * NANOS_PER_MS;
        return limitReached ? 1 : LAST_ACCEPT_MS;
    }

    private void serve(Socket socket) throws IOException {
        HttpConnection connection;
        try {
            connection = new HttpConnection(socket);
        } catch (IOException e) {
            socket.close(); // the client has reset the connection
            throw e;
        }
        evictIdleValidated();
        boolean withinLimit = makeRoom();
        ClientConnection client = new ClientConnection(connection, context, !withinLimit);
        connections.add(client);
        Runnable work = () -> {
            try {
                client.run();
            } finally {
                if (client.isValidated()) {
                    lastValidatedEndNanos = System.nanoTime();
                }
                connections.remove(client);
            }
        };
        try {
            (withinLimit ? connectionThreads : overLimitThreads).execute(work);
        } catch (RejectedExecutionException | OutOfMemoryError e) { // no thread is available to read the connection
            connections.remove(client);
            client.rejectUnread();
        }
    }

    /**
     * Makes room for one more connection by evicting one that holds no complete request, as {@link EvictionPolicy}
     * chooses. Accepting must not block: well-behaved clients wait in the same queue as a flood of connections, and their
     * deadlines approach. A client whose idle validated connection is closed has to connect again; a new client loses
     * its first request, whose bytes are on their way.
     *
     * @return whether the new connection is within the limit
     */
    private boolean makeRoom() {
        if (connections.size() < context.limits().get().clientConnections()) {
            return true;
        }
        boolean evicted = evict(evictionPolicy::chooseForNew);
        for (int i = 0;
                i < MAX_ROOM_RETRIES && !evicted && connections.stream().anyMatch(ClientConnection::awaitsFirstRequest);
                i++) {
            sleep(1); // until the bytes that have arrived are read
            evicted = evict(evictionPolicy::chooseForNew);
        }
        return evicted;
    }

    /**
     * Evicts the longest idle validated connection if there are too many. Clients may hold a third of the descriptors
     * in all: connections that they keep open without using them would leave none for their next requests.
     */
    private void evictIdleValidated() {
        long validatedCount = connections.stream()
                .filter(client -> client.isValidated() && !client.closing())
                .count();
        if (validatedCount > context.limits().get().servedClientConnections()) {
            evict(evictionPolicy::chooseValidated);
        }
    }

    /**
     * Evicts the connection chosen, or the next one if a request has just arrived on it.
     *
     * @return false if no connection can be evicted
     */
    private boolean evict(Function<Set<ClientConnection>, Optional<ClientConnection>> choice) {
        Optional<ClientConnection> candidate = choice.apply(connections);
        while (candidate.isPresent() && !candidate.get().closeNow()) {
            candidate = choice.apply(connections);
        }
        if (candidate.isPresent()) {
            context.metrics().connectionEvicted();
        }
        return candidate.isPresent();
    }

    /** Returns the number of open client connections. */
    public int size() {
        return connections.size();
    }

    /** Closes the connections whose clients do not read their responses, and removes expired request ids. */
    public void sweep() {
        connections.forEach(ClientConnection::closeIfWriteStalled);
        context.recentIds().removeExpired();
    }

    /** Requests that the listener stop accepting once its queue is empty; returns at once. */
    public void close() {
        closing = true;
    }

    /** Whether the listener has stopped accepting. */
    public boolean closed() {
        return closed;
    }

    /**
     * Whether a connection is open, or a validated one has ended within the last {@code graceMs} milliseconds: its
     * client may be connecting again.
     */
    public boolean hasRecentClients(long graceMs) {
        return !connections.isEmpty() || System.nanoTime() - lastValidatedEndNanos < graceMs * NANOS_PER_MS;
    }

    /**
     * Closes the connections that wait for a request. The last connection may be accepted while this method runs, so it
     * reads the listener's state before the connections.
     *
     * @return whether no connection is left and no further one can be accepted
     */
    public boolean closeIdleConnections() {
        boolean acceptsNone = closed;
        for (ClientConnection client : connections) {
            if (client.isIdle()) {
                client.closeWhenIdle();
            }
        }
        return acceptsNone && connections.isEmpty();
    }

    /** Closes the connections that have been idle for {@code idleMs} milliseconds. */
    public void closeConnectionsIdleFor(long idleMs) {
        long idleSinceNanos = System.nanoTime() - idleMs * NANOS_PER_MS;
        for (ClientConnection client : connections) {
            if (client.isIdle() && client.lastActivityNanos() - idleSinceNanos < 0) {
                client.closeWhenIdle();
            }
        }
    }

    /** Answers the requests still in flight as failed. */
    public void failAll() {
        connections.forEach(ClientConnection::fail);
    }

    private static void sleep(long pauseMs) {
        try {
            Thread.sleep(pauseMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
