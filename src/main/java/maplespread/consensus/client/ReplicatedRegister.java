package maplespread.consensus.client;

import java.io.Closeable;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import maplespread.consensus.ChangeResult;
import maplespread.consensus.ConsensusMessage;
import maplespread.consensus.ConsensusNode;
import maplespread.consensus.ConsensusSettings;
import maplespread.consensus.ConsensusTransport;
import maplespread.consensus.MessageCodec;
import maplespread.consensus.Mutation;
import maplespread.consensus.VersionedValue;
import maplespread.log.Event;
import maplespread.membership.MemberUpdate;
import maplespread.membership.client.ClusterTransport;

/**
 * The value that the fleet agrees on, for callers that may block. The group's receiving thread and one that ticks enter
 * the {@link ConsensusNode} under one lock, this object's; a third thread notifies listeners.
 */
public final class ReplicatedRegister implements Closeable {
    /** The group's channel that carries the messages. */
    public static final int CHANNEL = 1;

    private static final long THREAD_STACK_BYTES = 144 * 1024;

    /** How much later than its time a result may come before the caller is told that there is none. */
    private static final long RESULT_GRACE_MS = 1000;

    private static final long MAX_TICK_INTERVAL_MS = 1000;
    private static final long NANOS_PER_MS = 1_000_000;

    /** One call of the node at the present time. */
    private interface NodeCall {
        void run(long now, Consumer<ChangeResult> callback);
    }

    private final ConsensusSettings settings;
    private final ClusterTransport cluster;
    private final ConsensusNode node;
    private final MessageCodec codec = new MessageCodec();
    private final List<Consumer<VersionedValue>> listeners = new CopyOnWriteArrayList<>();
    private final BlockingQueue<VersionedValue> learnedValues = new LinkedBlockingQueue<>();
    private final Thread tickThread;
    private final Thread listenerThread;
    private boolean closed;

    /** Takes the group's channel {@link #CHANNEL}; {@code seed}: of the random source that spreads retries. */
    public ReplicatedRegister(ConsensusSettings settings, ClusterTransport cluster, long seed) {
        this.settings = settings;
        this.cluster = cluster;
        node = new ConsensusNode(settings, cluster.incarnation(), seed, now(), new NodeTransport());
        cluster.registerChannel(CHANNEL, this::receive);
        tickThread = startDaemon("agreement", this::tick);
        listenerThread = startDaemon("agreement news", this::notifyListeners);
    }

    /** Sends the node's messages to the group. Called under the lock. */
    private final class NodeTransport implements ConsensusTransport {
        @Override
        public void send(String receiver, ConsensusMessage message) {
            cluster.send(CHANNEL, receiver, codec.encode(receiver, message)); // what is not sent counts as lost
        }

        @Override
        public void learned(VersionedValue value) {
            learnedValues.add(value);
        }

        @Override
        public void event(boolean warning, String name, Object... pairs) {
            Event.write(warning, name, pairs);
        }
    }

    private static long now() {
        return System.nanoTime() / NANOS_PER_MS;
    }

    private static Thread startDaemon(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, THREAD_STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    // ------------------------------------------------------------ threads

    /** On the group's receiving thread. */
    private void receive(String sender, byte[] payload) {
        byte[] reply;
        synchronized (this) {
            MessageCodec.Received received = codec.decode(sender, payload);
            ConsensusMessage message = received.message();
            reply = received.reply();
            boolean forged = message != null && !message.sender().equals(sender);
            if (!received.readable() || forged) {
                Event.of("consensus.malformed_message", "member", sender, "bytes", payload.length)
                        .warn();
                return;
            }
            if (message != null && !closed) {
                node.receive(now(), message);
                notifyAll();
            }
        }
        if (reply != null) {
            cluster.send(CHANNEL, sender, reply);
        }
    }

    private synchronized void tick() {
        while (!closed) {
            try {
                node.members(cluster.members().stream()
                        .filter(member -> !member.departed())
                        .map(MemberUpdate::name)
                        .toList());
                long nextTickAt = node.tick(now());
                wait(Math.max(1, Math.min(MAX_TICK_INTERVAL_MS, nextTickAt - now())));
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) { // one bad message must not end the thread
                Event.of("consensus.fault", "why", e).error();
            }
        }
    }

    private void notifyListeners() {
        while (true) {
            try {
                VersionedValue value = learnedValues.take();
                listeners.forEach(listener -> listener.accept(value));
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) { // one failing listener must not end the thread
                Event.of("consensus.fault", "why", e).error();
            }
        }
    }

    // ------------------------------------------------------------ calls

    private ChangeResult call(long waitMs, NodeCall call) {
        CompletableFuture<ChangeResult> result = new CompletableFuture<>();
        synchronized (this) {
            if (closed) {
                throw new IllegalStateException("the register is closed");
            }
            call.run(now(), result::complete);
            notifyAll();
        }
        try {
            return result.get(waitMs + RESULT_GRACE_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return noMajority(e);
        } catch (ExecutionException | TimeoutException e) { // closed meanwhile, or paused
            return noMajority(e);
        }
    }

    private ChangeResult noMajority(Exception error) {
        return new ChangeResult(ChangeResult.Outcome.NO_MAJORITY, decidedValue(), error);
    }

    /**
     * Blocks until a change is decided or rejected, or the time is over. The mutation runs under the lock: it must not
     * block.
     *
     * @param waitMs the time in milliseconds
     * @throws IllegalStateException if the register is closed
     */
    public ChangeResult change(Mutation mutation, long waitMs) {
        return call(waitMs, (now, callback) -> node.change(now, mutation, now + waitMs, callback));
    }

    /** Moves to these electors, one at a time; blocks and throws as {@link #change} does. */
    public ChangeResult electors(List<String> next, long waitMs) {
        return call(waitMs, (now, callback) -> node.electors(now, next, now + waitMs, callback));
    }

    /** An operator's call after a majority has restarted at once; see {@link ConsensusNode#bootstrap}. */
    public ChangeResult bootstrap(List<String> electors, long waitMs) {
        return call(
                waitMs,
                (now, callback) -> node.bootstrap(now, System.currentTimeMillis(), electors, now + waitMs, callback));
    }

    /** Bootstraps with the electors in force as far as they are known, else with those of the settings. */
    public ChangeResult bootstrap(long waitMs) {
        VersionedValue known = decidedValue();
        return bootstrap(known == null ? settings.electors() : known.electors(), waitMs);
    }

    // ------------------------------------------------------------ state

    /** The last decided value that this instance has learned; null: none yet. */
    public synchronized VersionedValue decidedValue() {
        return node.decidedValue();
    }

    /** Whether this process has not yet read what a majority knows, and does not vote. */
    public synchronized boolean recovering() {
        return node.recovering();
    }

    /** How values were sent to other members so far. */
    public synchronized MessageCodec.Counts valuesSent() {
        return codec.counts();
    }

    /** See {@link ConsensusNode#acceptedValue}. */
    public synchronized VersionedValue acceptedValue() {
        return node.acceptedValue();
    }

    /** The electors as this member knows them; two lists while they change. */
    public synchronized List<List<String>> electors() {
        return node.electors();
    }

    /** Notified of each value learned, in order, on a thread that does nothing else. */
    public void addListener(Consumer<VersionedValue> listener) {
        listeners.add(listener);
    }

    /** Ends the threads; calls that wait end with {@link ChangeResult.Outcome#NO_MAJORITY}. */
    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        tickThread.interrupt();
        listenerThread.interrupt();
    }
}
