package maplespread.metrics;

import java.util.Collection;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;
import maplespread.log.Event;
import org.tinylog.Logger;

/**
 * Counts from the process's start; they never go back, also not over a reload that drops a class. All may be
 * added to and read by any thread without a lock.
 */
public final class Metrics {
    /** How a job ended for its client. */
    public enum ResponseCode {
        SUCCESS,
        BUSY,
        FAILURE
    }

    /** Workers on the list, and how many of these get nothing new at present. */
    public record HostCounts(int listed, int down) {}

    private static final class PerClass {
        final LongAdder[] ended = {new LongAdder(), new LongAdder(), new LongAdder()};
    }

    private final Map<String, PerClass> classes = new ConcurrentSkipListMap<>();
    private final LongAdder servedNanos = new LongAdder();
    private final LongAdder requestAccepted = new LongAdder();
    private final LongAdder requestCompleted = new LongAdder();
    private final LongAdder attempts = new LongAdder();
    private final LongAdder reconfigOk = new LongAdder();
    private final LongAdder reconfigFailed = new LongAdder();
    private final LongAdder faultyRequest = new LongAdder();
    private final LongAdder connectionEvicted = new LongAdder();
    private final LongAdder clientLeft = new LongAdder();
    private final LongAdder connectionRejectedUnread = new LongAdder();
    private volatile HostCounts setHostCounts = new HostCounts(0, 0);
    private final Map<String, LongAdder> requestUnserved = new ConcurrentSkipListMap<>(); // by reason
    private long[] logged = new long[7];

    /** Has these classes shown, at 0 where nothing has come of them. */
    public void showClasses(Collection<String> names) {
        names.forEach(name -> classes.computeIfAbsent(name, n -> new PerClass()));
    }

    /** A job has been taken whole: an answer is owed. */
    public void requestAccepted() {
        requestAccepted.increment();
    }

    /** A taken job is over: answered, or its client has left. */
    public void requestCompleted() {
        requestCompleted.increment();
    }

    /** A job's final answer has been written to its client, so long after the job was taken. */
    public void responseWritten(String cls, ResponseCode code, long tookNanos) {
        classes.computeIfAbsent(cls, n -> new PerClass()).ended[code.ordinal()].increment();
        if (code == ResponseCode.SUCCESS) {
            servedNanos.add(tookNanos);
        }
    }

    /** All answers written so far, by how the jobs ended, and how long those served took together. */
    public record Totals(long served, long busy, long failed, long servedNanos) {}

    public Totals totals() {
        long nanos = servedNanos.sum();
        long[] n = new long[3];
        for (PerClass c : classes.values()) {
            for (int i = 0; i < 3; i++) {
                n[i] += c.ended[i].sum();
            }
        }
        return new Totals(n[0], n[1], n[2], nanos);
    }

    /** The last byte of an attempt has been written to a worker. */
    public void attemptSent() {
        attempts.increment();
    }

    /** A request that no worker may see was turned down; it is no job. */
    public void faultyRequest() {
        faultyRequest.increment();
    }

    /** A silent connection was closed for a new one. */
    public void connectionEvicted() {
        connectionEvicted.increment();
    }

    /** A client left before its answer. */
    public void clientLeft() {
        clientLeft.increment();
    }

    /** A job was ended unserved for this reason. */
    public void requestUnserved(Enum<?> why) {
        requestUnserved
                .computeIfAbsent(why.name().toLowerCase(Locale.ROOT), n -> new LongAdder())
                .increment();
    }

    /** A connection was refused unread, as no thread was left for it: what it brought is of no class. */
    public void connectionRejectedUnread() {
        connectionRejectedUnread.increment();
    }

    public void reconfigured(boolean ok) {
        (ok ? reconfigOk : reconfigFailed).increment();
    }

    public void setHostCounts(HostCounts now) {
        setHostCounts = now;
    }

    /** How many jobs are taken and not over. */
    public long inflight() {
        long ended = requestCompleted.sum(); // first: else it could come out below 0
        return Math.max(0, requestAccepted.sum() - ended);
    }

    /** All figures, a line each, by the operators' names. */
    public String text() {
        StringBuilder all = new StringBuilder(1024);
        classes.forEach((name, c) -> {
            for (ResponseCode code : ResponseCode.values()) {
                all.append("app_calls{tier=\"")
                        .append(name)
                        .append("\",code=\"")
                        .append(code.name().toLowerCase(Locale.ROOT))
                        .append("\"} ")
                        .append(c.ended[code.ordinal()].sum())
                        .append('\n');
            }
        });
        HostCounts now = setHostCounts;
        line(all, "backend_calls", attempts.sum());
        line(all, "inflight", inflight());
        line(all, "hosts_listed", now.listed());
        line(all, "hosts_down", now.down());
        requestUnserved.forEach((why, count) -> line(all, "unserved{why=\"" + why + "\"}", count.sum()));
        line(all, "reconfig_ok", reconfigOk.sum());
        line(all, "reconfig_failed", reconfigFailed.sum());
        return all.toString();
    }

    private static void line(StringBuilder all, String name, long value) {
        all.append("app_").append(name).append(' ').append(value).append('\n');
    }

    /** Writes what came since the last line in the log; nothing where nothing did. From one thread. */
    public void logCounts(int legs) {
        long[] now = new long[7];
        for (PerClass c : classes.values()) {
            for (int i = 0; i < 3; i++) {
                now[i] += c.ended[i].sum();
            }
        }
        now[3] = clientLeft.sum();
        now[4] = faultyRequest.sum();
        now[5] = connectionEvicted.sum();
        now[6] = connectionRejectedUnread.sum();
        Object[] d = new Object[8];
        boolean any = false;
        for (int i = 0; i < 7; i++) {
            d[i] = now[i] - logged[i];
            any |= now[i] != logged[i];
        }
        d[7] = legs;
        logged = now;
        if (any) {
            Logger.info(
                    "served {}, busy {}, failed {}, clients left {}; faulty requests {}, silent legs "
                            + "closed for others {}, refused unread {}; {} caller legs",
                    d);
            if (!requestUnserved.isEmpty()) {
                Event since = Event.of("requests.unserved_since_start");
                requestUnserved.forEach((why, count) -> since.with(why, count.sum()));
                since.info();
            }
        }
    }
}
