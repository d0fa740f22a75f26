package maplespread.lab.rig;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import maplespread.http.HttpConnection;
import maplespread.http.HttpHead;
import maplespread.http.HttpParser;
import maplespread.http.HttpWriter;
import maplespread.lab.fleet.WorkerModel;

/** A worker behind sockets: the model in real time, and the protocol's lines. */
final class RigWorker {
    private static final long HOLD_MS = 30_000;
    private static final long STEP_MS = 5;
    private static final long LAST_MS = 800; // a fifth of the deadline

    /** A job as it stands in the model: what the model says of it goes to its connection's thread. */
    private static final class Job {
        final LinkedBlockingQueue<String> news = new LinkedBlockingQueue<>();
        EventRecord.Run run; // null: it has no key

        void over(String state) {
            if (run != null) {
                run.end(); // before anybody can know of it
            }
            news.add(state);
        }
    }

    final String name;
    final String zone;
    final FaultLink[] ways; // by dispatcher
    final String[] doors;
    private final EventRecord ledger;
    private final WorkerModel<Job> model;
    private final long start = System.nanoTime();
    private final double base;
    private volatile int generation; // of its process, by restarts
    private double worst;
    private boolean moves;
    private int movedAt; // the generation that was drained
    private long startedAtMs; // Unix time; 0: long ago

    /** {@code sinceMs}: how long it has been up; 0: it starts now, cold. */
    RigWorker(
            String name,
            String zone,
            WorkerModel.Kind kind,
            int dispatchers,
            double sinceMs,
            LoopbackListeners doors,
            EventRecord ledger)
            throws IOException {
        this.name = name;
        this.zone = zone;
        this.ledger = ledger;
        base = sinceMs;
        model = new WorkerModel<>(kind, 0);
        ways = new FaultLink[dispatchers];
        this.doors = new String[dispatchers];
        for (int d = 0; d < dispatchers; d++) {
            FaultLink way = new FaultLink();
            ways[d] = way;
            this.doors[d] = doors.open(link -> {
                try {
                    serve(link, way);
                } catch (InterruptedException ended) {
                    Thread.currentThread().interrupt();
                }
            });
        }
        LoopbackListeners.daemon("worker " + name, this::run);
    }

    private double nowMs() {
        return base + (System.nanoTime() - start) / 1e6;
    }

    private void run() throws InterruptedException {
        while (true) {
            step();
            Thread.sleep(STEP_MS);
        }
    }

    private synchronized void step() {
        for (WorkerModel.Step<Job> s : model.advance(nowMs())) {
            if (s.done()) {
                s.job().over("done\",\"result\":\"ok");
            } else {
                s.job().news.add("started");
            }
        }
    }

    /** Its process ends and another one starts, cold: connections break, what it held is lost. */
    synchronized void restart() {
        worst = worst();
        generation++;
        startedAtMs = System.currentTimeMillis();
        model.restart(nowMs()).forEach(job -> job.over(""));
    }

    synchronized void slow(double times) {
        model.slow(times);
    }

    /** Whether its process is still the one it began with. */
    boolean first() {
        return generation == 0;
    }

    /** It is drained, or is taken back as it is. */
    synchronized void move(boolean now) {
        moves = now;
        movedAt = generation;
    }

    /** Whether it was drained and has not been warm since. */
    synchronized boolean moved() {
        moves &= generation == movedAt || model.cold(nowMs());
        return moves;
    }

    /** What it can do when warm. */
    synchronized double full() {
        return model.capacity(Double.MAX_VALUE);
    }

    /** Whether it has no job, waiting or running. */
    synchronized boolean idle() {
        return model.held() == 0;
    }

    /** What it can do now. */
    synchronized double capacity() {
        return model.capacity(nowMs());
    }

    synchronized boolean cold() {
        return model.cold(nowMs());
    }

    /** When it started, in Unix time; 0 where that was before the rig. */
    synchronized long startedAtMs() {
        return startedAtMs;
    }

    /** The most work it was sent while cold within the window of the rule, over what it could do. */
    synchronized double worst() {
        return Math.max(worst, model.worst());
    }

    private void serve(HttpConnection link, FaultLink way) throws IOException, InterruptedException {
        ledger.dials.increment();
        int mine = generation;
        while (way.open(HOLD_MS) && link.fill(HOLD_MS) && way.open(HOLD_MS) && mine == generation) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            HttpParser parser = HttpParser.request(body::write);
            link.receive(parser, HOLD_MS);
            HttpHead head = parser.head();
            if (head.method().equals("GET")) {
                ledger.probes.increment();
                way.send(link, HttpWriter.response(200).body(load().getBytes()));
            } else if (!job(link, way, head, mine)) {
                return;
            }
        }
    }

    private synchronized String load() {
        return "{\"util\":" + model.util() + ",\"x0\":" + model.freeSlots() + "}";
    }

    /** False: the connection has ended with it. */
    private boolean job(HttpConnection link, FaultLink way, HttpHead head, int mine)
            throws IOException, InterruptedException {
        String id = head.get("X-Txn");
        ledger.jobs.increment();
        if ("order".equals(head.get("X-Lane"))) {
            ledger.order(id);
        }
        if (way.last.equals(head.get("X-Org"))) {
            Thread.sleep(LAST_MS);
        }
        Job job = new Job();
        synchronized (this) {
            if (mine != generation) {
                return false;
            }
            String key = head.get("X-Entity");
            job.run = key == null ? null : ledger.began(id, key);
            String target = head.target(); // ends with the work in microseconds
            model.submit(nowMs(), job, Long.parseLong(target.substring(target.indexOf('=') + 1)) / 1000.0);
        }
        step();
        if (way.fault == FaultLink.Fault.RESET) {
            if ("order".equals(head.get("X-Lane"))) {
                ledger.cutOff.increment();
            }
            return false; // and the job runs on, unheard
        }
        way.send(link, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
        String state = "";
        while (!state.startsWith("done")) {
            state = job.news.poll(job.run == null ? HOLD_MS : 1, TimeUnit.MILLISECONDS);
            if (state == null && job.run != null) { // a key's next job waits for this one's end
                step();
                state = "";
                continue;
            }
            if (state == null || state.isEmpty()) {
                return false;
            }
            String line = "{\"id\":\"" + id + "\",\"from\":\"" + name + "\",\"state\":\"" + state + "\"}\n";
            way.send(
                    link,
                    (Integer.toHexString(line.length()) + "\r\n" + line + "\r\n"
                                    + (state.startsWith("done") ? "0\r\n\r\n" : ""))
                            .getBytes());
        }
        return true;
    }
}
