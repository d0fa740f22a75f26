package maplespread.agreement.client;

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
import maplespread.agreement.Agreement;
import maplespread.agreement.AgreementSettings;
import maplespread.agreement.AgreementSink;
import maplespread.agreement.Change;
import maplespread.agreement.Result;
import maplespread.agreement.Value;
import maplespread.agreement.Word;
import maplespread.agreement.WordCodec;
import maplespread.log.Event;
import maplespread.membership.client.Group;

/**
 * The value that the fleet agrees on, for callers that wait. The group's receiving thread and one that ticks
 * enter the core under one lock; a third tells listeners.
 */
public final class Register implements Closeable {
    /** Of the group's channels. */
    public static final int CHANNEL = 1;

    private static final long STACK = 144 * 1024;
    private static final long LATE_MS = 1000; // by which a result may come after its time

    /** One call into the core, with the time. */
    private interface Call {
        void on(long now, Consumer<Result> done);
    }

    private final AgreementSettings set;
    private final Group group;
    private final Agreement core;
    private final WordCodec codec = new WordCodec(); // under the lock, as the core
    private final List<Consumer<Value>> listeners = new CopyOnWriteArrayList<>();
    private final BlockingQueue<Value> news = new LinkedBlockingQueue<>();
    private final Thread ticks, tells;
    private boolean over;

    /** Takes the group's channel 1. */
    public Register(AgreementSettings set, Group group, long seed) {
        this.set = set;
        this.group = group;
        core = new Agreement(set, group.boot(), seed, now(), new AgreementSink() {
            @Override
            public void send(String to, Word word) {
                group.send(CHANNEL, to, codec.encode(to, word)); // unsent is as good as lost
            }

            @Override
            public void learned(Value value) {
                news.add(value);
            }

            @Override
            public void event(boolean warning, String name, Object... pairs) {
                Event.write(warning, name, pairs);
            }
        });
        group.channel(CHANNEL, this::heard);
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
            WordCodec.Received received = codec.decode(from, payload);
            Word word = received.word();
            reply = received.reply();
            if (!received.readable() || word != null && !word.from().equals(from)) {
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
                        .filter(m -> !m.gone())
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
                Value v = news.take();
                listeners.forEach(l -> l.accept(v));
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException e) {
                Event.of("agreement.fault", "why", e).error();
            }
        }
    }

    private Result call(long waitMs, Call call) {
        CompletableFuture<Result> result = new CompletableFuture<>();
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
            return new Result(Result.Kind.NO_MAJORITY, known(), e);
        } catch (ExecutionException | TimeoutException e) { // closed meanwhile, or stood still
            return new Result(Result.Kind.NO_MAJORITY, known(), e);
        }
    }

    /** Blocks until it is decided or refused, or the time is over. The change runs under the lock. */
    public Result change(Change c, long waitMs) {
        return call(waitMs, (now, done) -> core.change(now, c, now + waitMs, done));
    }

    /** Moves to these electors, one at a time; blocks as a change does. */
    public Result electors(List<String> next, long waitMs) {
        return call(waitMs, (now, done) -> core.electors(now, next, now + waitMs, done));
    }

    /** An operator's call after a majority has restarted at once; see {@link Agreement#found}. */
    public Result found(List<String> electors, long waitMs) {
        return call(waitMs, (now, done) -> core.found(now, System.currentTimeMillis(), electors, now + waitMs, done));
    }

    /** With the electors in force as far as is known, else those of the settings. */
    public Result found(long waitMs) {
        Value v = known();
        return found(v == null ? set.electors() : v.electors(), waitMs);
    }

    /** The last decided value that this instance has heard of; null: none yet. */
    public synchronized Value known() {
        return core.known();
    }

    /** Whether this run has not yet read what a majority knows. */
    public synchronized boolean blind() {
        return core.blind();
    }

    /** How values went to other members so far. */
    public synchronized WordCodec.Counts valuesSent() {
        return codec.counts();
    }

    /** See {@link Agreement#voted}. */
    public synchronized Value voted() {
        return core.voted();
    }

    /** The electors as this member knows them; two lists while a change of them is under way. */
    public synchronized List<List<String>> electors() {
        return core.electors();
    }

    /** Hears of each value learned, in order, on a thread for that alone. */
    public void listen(Consumer<Value> listener) {
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
