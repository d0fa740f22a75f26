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
 * Blocking access to the replicated value. The group's receiving thread and a tick thread call the
 * {@link ConsensusNode} under the lock of this object; a third thread notifies the listeners.
 */
public final class ReplicatedRegister implements Closeable {
    /** Number of the group's channel for consensus messages. */
    public static final int CHANNEL = 1;

    private static final long THREAD_STACK_BYTES = 144 * 1024;

    /** Extra time after the deadline of a change in which the node may still deliver the result. */
    private static final long RESULT_GRACE_MS = 1000;

    private static final long MAX_TICK_INTERVAL_MS = 1000;
    private static final long NANOS_PER_MS = 1_000_000;

    /** A call of the node with the current time. */
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

    /**
     * Registers for the group's channel {@link #CHANNEL} and starts the threads.
     *
     * @param seed seed of the random source for backoff times and the choice of receivers
     */
    public ReplicatedRegister(ConsensusSettings settings, ClusterTransport cluster, long seed) {
        this.settings = settings;
        this.cluster = cluster;
        node = new ConsensusNode(settings, cluster.incarnation(), seed, now(), new NodeTransport());
        cluster.registerChannel(CHANNEL, this::receive);
        tickThread = startDaemon("agreement", this::tick);
        listenerThread = startDaemon("agreement news", this::notifyListeners);
    }

    /** Sends the node's messages to the group. Called while the lock of the register is held. */
    private final class NodeTransport implements ConsensusTransport {
        @Override
        public void send(String receiver, ConsensusMessage message) {
            cluster.send(CHANNEL, receiver, codec.encode(receiver, message)); // a failed send counts as a lost message
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

    /** Handles a packet. Called on the group's receiving thread. */
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
        } catch (ExecutionException | TimeoutException e) { // closed in the meantime, or a process pause
            return noMajority(e);
        }
    }

    private ChangeResult noMajority(Exception error) {
        return new ChangeResult(ChangeResult.Outcome.NO_MAJORITY, decidedValue(), error);
    }

    /**
     * Submits a change and blocks until it is decided, rejected or timed out. The mutation runs while the lock is held
     * and must not block.
     *
     * @param waitMs the timeout in milliseconds
     * @throws IllegalStateException if the register is closed
     */
    public ChangeResult change(Mutation mutation, long waitMs) {
        return call(waitMs, (now, callback) -> node.change(now, mutation, now + waitMs, callback));
    }

    /** Replaces the electors, one at a time; blocks and throws like {@link #change}. */
    public ChangeResult electors(List<String> next, long waitMs) {
        return call(waitMs, (now, callback) -> node.electors(now, next, now + waitMs, callback));
    }

    /** For operators, after a majority of the electors has restarted at once; see {@link ConsensusNode#bootstrap}. */
    public ChangeResult bootstrap(List<String> electors, long waitMs) {
        return call(
                waitMs,
                (now, callback) -> node.bootstrap(now, System.currentTimeMillis(), electors, now + waitMs, callback));
    }

    /** Bootstraps with the electors of the last known value, or with those of the settings if none is known. */
    public ChangeResult bootstrap(long waitMs) {
        VersionedValue known = decidedValue();
        return bootstrap(known == null ? settings.electors() : known.electors(), waitMs);
    }

    // ------------------------------------------------------------ state

    /** The latest decided value that this instance has learned; null if none. */
    public synchronized VersionedValue decidedValue() {
        return node.decidedValue();
    }

    /** Whether this process has not yet read the state of a majority and therefore does not vote. */
    public synchronized boolean recovering() {
        return node.recovering();
    }

    /** Counts of the values sent to other members, whole or by reference. */
    public synchronized MessageCodec.Counts valuesSent() {
        return codec.counts();
    }

    /** See {@link ConsensusNode#acceptedValue}. */
    public synchronized VersionedValue acceptedValue() {
        return node.acceptedValue();
    }

    /** The electors known to this member: one list, or two during a change. */
    public synchronized List<List<String>> electors() {
        return node.electors();
    }

    /** Adds a listener that is notified of each learned value, in order, on a dedicated thread. */
    public void addListener(Consumer<VersionedValue> listener) {
        listeners.add(listener);
    }

    /** Stops the threads. Blocked calls return {@link ChangeResult.Outcome#NO_MAJORITY} after their timeout. */
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
