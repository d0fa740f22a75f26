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
import maplespread.membership.client.ClusterTransport;

/**
 * The value that the fleet agrees on, for callers that wait. The group's receiving thread and one that ticks
 * enter the core under one lock; a third tells listeners.
 */
public final class ReplicatedRegister implements Closeable {
    /** Of the group's channels. */
    public static final int CHANNEL = 1;

    private static final long STACK = 144 * 1024;
    private static final long LATE_MS = 1000; // by which a result may come after its time

    /** One call into the core, with the time. */
    private interface Call {
        void on(long now, Consumer<ChangeResult> done);
    }

    private final ConsensusSettings set;
    private final ClusterTransport group;
    private final ConsensusNode core;
    private final MessageCodec codec = new MessageCodec(); // under the lock, as the core
    private final List<Consumer<VersionedValue>> listeners = new CopyOnWriteArrayList<>();
    private final BlockingQueue<VersionedValue> news = new LinkedBlockingQueue<>();
    private final Thread ticks, tells;
    private boolean over;

    /** Takes the group's channel 1. */
    public ReplicatedRegister(ConsensusSettings set, ClusterTransport group, long seed) {
        this.set = set;
        this.group = group;
        core = new ConsensusNode(set, group.incarnation(), seed, now(), new ConsensusTransport() {
            @Override
            public void send(String to, ConsensusMessage word) {
                group.send(CHANNEL, to, codec.encode(to, word)); // unsent is as good as lost
            }

            @Override
            public void learned(VersionedValue value) {
                news.add(value);
            }

            @Override
            public void event(boolean warning, String name, Object... pairs) {
                Event.write(warning, name, pairs);
            }
        });
        group.registerChannel(CHANNEL, this::heard);
        ticks = daemon("agreement", this::tick);
        tells = daemon("agreement news", this::tell);
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private static Thread daemon(String name, Runnable work) {
        Thread t = new Thread(null, work, name, STACK);
        t.setDaemon(true);
        t.start();
        return t;
    }

    private void heard(String from, byte[] payload) {
        byte[] reply;
        synchronized (this) {
            MessageCodec.Received received = codec.decode(from, payload);
            ConsensusMessage word = received.message();
            reply = received.reply();
            if (!received.readable() || word != null && !word.sender().equals(from)) {
                Event.of("agreement.not_a_word", "member", from, "bytes", payload.length)
                        .warn();
                return;
            }
            if (word != null && !over) {
                core.received(now(), word);
                notifyAll();
            }
        }
        if (reply != null) {
            group.send(CHANNEL, from, reply);
        }
    }

    private synchronized void tick() {
        while (!over) {
            try {
                core.members(group.members().stream()
                        .filter(m -> !m.departed())
                        .map(m -> m.name())
                        .toList());
                long at = core.tick(now());
                wait(Math.max(1, Math.min(1000, at - now())));
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) { // no one word may end the thread
                Event.of("agreement.fault", "why", e).error();
            }
        }
    }

    private void tell() {
        while (true) {
            try {
                VersionedValue v = news.take();
                listeners.forEach(l -> l.accept(v));
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                Event.of("agreement.fault", "why", e).error();
            }
        }
    }

    private ChangeResult call(long waitMs, Call call) {
        CompletableFuture<ChangeResult> result = new CompletableFuture<>();
        synchronized (this) {
            if (over) {
                throw new IllegalStateException("the register is closed");
            }
            call.on(now(), result::complete);
            notifyAll();
        }
        try {
            return result.get(waitMs + LATE_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new ChangeResult(ChangeResult.Outcome.NO_MAJORITY, decidedValue(), e);
        } catch (ExecutionException | TimeoutException e) { // closed meanwhile, or stood still
            return new ChangeResult(ChangeResult.Outcome.NO_MAJORITY, decidedValue(), e);
        }
    }

    /** Blocks until it is decided or refused, or the time is over. The change runs under the lock. */
    public ChangeResult change(Mutation c, long waitMs) {
        return call(waitMs, (now, done) -> core.change(now, c, now + waitMs, done));
    }

    /** Moves to these electors, one at a time; blocks as a change does. */
    public ChangeResult electors(List<String> next, long waitMs) {
        return call(waitMs, (now, done) -> core.electors(now, next, now + waitMs, done));
    }

    /** An operator's call after a majority has restarted at once; see {@link ConsensusNode#bootstrap}. */
    public ChangeResult bootstrap(List<String> electors, long waitMs) {
        return call(
                waitMs, (now, done) -> core.bootstrap(now, System.currentTimeMillis(), electors, now + waitMs, done));
    }

    /** With the electors in force as far as is known, else those of the settings. */
    public ChangeResult bootstrap(long waitMs) {
        VersionedValue v = decidedValue();
        return bootstrap(v == null ? set.electors() : v.electors(), waitMs);
    }

    /** The last decided value that this instance has heard of; null: none yet. */
    public synchronized VersionedValue decidedValue() {
        return core.decidedValue();
    }

    /** Whether this run has not yet read what a majority knows. */
    public synchronized boolean recovering() {
        return core.recovering();
    }

    /** How values went to other members so far. */
    public synchronized MessageCodec.Counts valuesSent() {
        return codec.counts();
    }

    /** See {@link ConsensusNode#acceptedValue}. */
    public synchronized VersionedValue acceptedValue() {
        return core.acceptedValue();
    }

    /** The electors as this member knows them; two lists while a change of them is under way. */
    public synchronized List<List<String>> electors() {
        return core.electors();
    }

    /** Hears of each value learned, in order, on a thread for that alone. */
    public void addListener(Consumer<VersionedValue> listener) {
        listeners.add(listener);
    }

    @Override
    public void close() {
        synchronized (this) {
            over = true;
            notifyAll();
        }
        ticks.interrupt();
        tells.interrupt();
    }
}
