package maplespread.lab.rig;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import maplespread.http.HttpConnection;
import maplespread.http.HttpParser;
import maplespread.policy.ReproducibleMath;

/**
 * Clients behind a plain front: jobs at a steady rate whatever becomes of them, over connections that are
 * kept. Each request has one answer before its time is up, or it is a wrong, unless its dispatcher was
 * killed.
 */
final class RigClients {
    private static final int MOST = 1500; // requests at once
    private static final int REMAINING_MS = 4000;
    private static final long SLACK_MS = 1500; // this process may not run in time either
    private static final int AIM_MS = 500;
    private static final int STRETCH = 2;
    private static final long FORETOLD_US = 20_000; // at most, of a key: heads run over

    /** How one request ended, for figures over time. */
    record End(long atNanos, int org, double work, boolean inAim) {}

    private final Rig rig;
    private final double rate;
    private final SplittableRandom random;
    private final List<ConcurrentLinkedDeque<HttpConnection>> kept;
    private final ExecutorService threads;
    private final AtomicInteger open = new AtomicInteger();
    private final AtomicIntegerArray inHand; // requests, by dispatcher
    private volatile boolean over;
    private final Thread pace;
    final ConcurrentLinkedQueue<End> ends = new ConcurrentLinkedQueue<>();

    RigClients(Rig rig, double rate, long seed) {
        this.rig = rig;
        this.rate = rate;
        random = new SplittableRandom(seed ^ 0x5eed);
        inHand = new AtomicIntegerArray(rig.dispatchers.size());
        kept = rig.dispatchers.stream()
                .map(d -> new ConcurrentLinkedDeque<HttpConnection>())
                .toList();
        threads = new ThreadPoolExecutor(0, MOST, 5, TimeUnit.SECONDS, new SynchronousQueue<>(), work -> {
            Thread t = new Thread(null, work, "rig client", 128 * 1024);
            t.setDaemon(true);
            return t;
        });
        pace = rig.plan.paced() ? LoopbackListeners.daemon("clients", this::pace) : new Thread();
    }

    double rate() {
        return rate;
    }

    private void pace() throws InterruptedException {
        double next = System.nanoTime();
        long count = 0;
        while (!over) {
            long wait = (long) (next - System.nanoTime());
            if (wait > 0) {
                TimeUnit.NANOSECONDS.sleep(wait);
            }
            next += -ReproducibleMath.log(1 - random.nextDouble()) * 1e9 / rate;
            double pick = random.nextDouble();
            int org = pick < Rig.SHARES[0] ? 0 : pick < Rig.SHARES[0] + Rig.SHARES[1] ? 1 : 2;
            double work = Rig.MEAN_MS * Math.max(0.1, -ReproducibleMath.log(1 - random.nextDouble()));
            boolean order = random.nextInt(5) == 0;
            int first = random.nextInt(rig.dispatchers.size());
            String id = String.format("%x-%x", rig.plan.seed(), ++count);
            try {
                open.incrementAndGet();
                threads.execute(() -> {
                    try {
                        ask(id, first, org, order, work, null);
                    } finally {
                        open.decrementAndGet();
                    }
                });
            } catch (RejectedExecutionException full) {
                open.decrementAndGet(); // more at once than this rig plays
            }
        }
    }

    /** No more are sent; waits until all have ended. */
    void stop() {
        over = true;
        long end = System.nanoTime() + (REMAINING_MS + SLACK_MS) * 1_000_000L;
        try {
            pace.join(1000);
            while (open.get() > 0 && System.nanoTime() < end) {
                Thread.sleep(10);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        threads.shutdownNow();
        kept.forEach(k -> k.forEach(HttpConnection::close));
    }

    /** Requests that a dispatcher has not answered yet. */
    int inHand(int dispatcher) {
        return inHand.get(dispatcher);
    }

    /** The front goes past dispatchers that it knows to be dead, or that send clients away. */
    private int front(int first) {
        for (int i = 0; i < rig.dispatchers.size(); i++) {
            int d = (first + i) % rig.dispatchers.size();
            inHand.incrementAndGet(d); // before the look: who waits for none sees it
            if (rig.dispatchers.get(d).taking()) {
                return d;
            }
            inHand.decrementAndGet(d);
        }
        return -1;
    }

    /** Asks for a job and waits for its answer; {@code key}: its entity, null: it has none. */
    OrderingChecker.Asked ask(String id, int first, int org, boolean order, double work, String key) {
        long start = System.nanoTime();
        OrderingChecker.Got got = OrderingChecker.Got.EXCUSED;
        int d = front(first);
        rig.ledger.asked.increment();
        if (d < 0) {
            rig.ledger.excused.increment(); // none is there
            ends.add(new End(System.nanoTime(), org, work, false));
            return new OrderingChecker.Asked(id, key, order, start, System.nanoTime(), got);
        }
        ServeProcess to = rig.dispatchers.get(d);
        String lane = order ? "order" : "page";
        long us = Math.round(work * 1000);
        byte[] request = ("POST /" + lane + "/x?us=" + us + " HTTP/1.1\r\nHost: rig\r\nX-Txn: " + id
                        + "\r\nX-Lane: " + lane + "\r\nX-Org: " + Rig.ORGS[org] + "\r\nX-Remaining-Ms: " + REMAINING_MS
                        + "\r\nX-Estimate: " + (key == null ? us : Math.min(us, FORETOLD_US))
                        + (key == null ? "" : "\r\nX-Entity: " + key)
                        + "\r\nContent-Length: 2\r\n\r\nhi")
                .getBytes();
        boolean inAim = false;
        HttpConnection link = idle(d);
        try {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            HttpParser parser = HttpParser.responseOrError(1 << 16, body::write);
            if (link != null && !onKept(link, request, parser)) {
                link.close(); // its end has crossed the request
                link = null;
            }
            if (link == null) {
                link = HttpConnection.dial(to.address(), REMAINING_MS);
                link.send(request);
                link.receive(parser, REMAINING_MS + SLACK_MS);
            }
            int status = parser.head().status();
            got = status == 200
                    ? OrderingChecker.Got.DONE
                    : "in-doubt".equals(parser.head().get("X-Order"))
                            ? OrderingChecker.Got.DOUBT
                            : OrderingChecker.Got.REFUSED;
            inAim = answered(id, status, body.toString(), start, work);
            if (link.pending()) {
                rig.ledger.wrong(id + " got more than one answer");
            }
            if (!"close".equals(parser.head().get("Connection"))) {
                kept.get(d).addFirst(link);
                link = null;
            }
        } catch (IOException e) {
            if (to.struckSince(start) || over) {
                rig.ledger.excused.increment();
            } else {
                got = OrderingChecker.Got.NOTHING;
                rig.ledger.wrong(id + " got no answer from n" + d + " in " + (System.nanoTime() - start) / 1_000_000
                        + " ms: " + e);
            }
        } finally {
            if (link != null) {
                link.close();
            }
            ends.add(new End(System.nanoTime(), org, work, inAim));
            inHand.decrementAndGet(d);
        }
        return new OrderingChecker.Asked(id, key, order, start, System.nanoTime(), got);
    }

    /** False: the connection ended before a byte of an answer, as one that was closed in between does. */
    private static boolean onKept(HttpConnection link, byte[] request, HttpParser parser) throws IOException {
        try {
            link.send(request);
            if (!link.fill(REMAINING_MS + SLACK_MS)) {
                return false;
            }
        } catch (java.net.SocketTimeoutException silent) {
            throw silent;
        } catch (IOException ended) {
            return false;
        }
        link.receive(parser, REMAINING_MS + SLACK_MS);
        return true;
    }

    /** Counts the answer; whether it was served in its aim. */
    private boolean answered(String id, int status, String body, long start, double work) {
        if (status == 503) {
            rig.ledger.refused.increment();
        } else if (status != 200) {
            rig.ledger.failed.increment();
        } else {
            rig.ledger.served.increment();
            if (!body.equals("ok")) {
                rig.ledger.wrong(id + " was served with what no worker made: " + body);
            }
            if ((System.nanoTime() - start) / 1e6 <= AIM_MS + STRETCH * work) {
                rig.ledger.inAim.increment();
                return true;
            }
        }
        return false;
    }

    /** A kept connection that is still open, or null. */
    private HttpConnection idle(int d) {
        for (HttpConnection c = kept.get(d).pollFirst();
                c != null;
                c = kept.get(d).pollFirst()) {
            if (!c.stale()) {
                return c;
            }
            c.close();
        }
        return null;
    }
}
