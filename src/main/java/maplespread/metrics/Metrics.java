package maplespread.metrics;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.LongAdder;
import maplespread.log.Event;
import org.tinylog.Logger;

/**
 * Counts from the process's start; they never go back, also not over a reload that drops a class. Any thread may add and
 * read without a lock. The names in {@link #text} are the operators'.
 */
public final class Metrics {
    /** How a request ended for its client. */
    public enum ResponseCode {
        /** The worker's result was written. */
        SUCCESS,
        /** It was rejected: a retry is safe. */
        BUSY,
        /** It was answered with any other error. */
        FAILURE
    }

    /** Workers on the endpoint list, and how many of these get nothing new: draining, ejected or backing off. */
    public record HostCounts(int listed, int down) {}

    /** All responses written so far, by how the requests ended, and how long those served took together. */
    public record Totals(long served, long busy, long failed, long servedNanos) {}

    private static final int INITIAL_TEXT_CHARS = 1024;

    private static final class PerClass {
        private final Map<ResponseCode, LongAdder> responses = new EnumMap<>(ResponseCode.class);

        PerClass() {
            for (ResponseCode code : ResponseCode.values()) {
                responses.put(code, new LongAdder());
            }
        }

        LongAdder count(ResponseCode code) {
            return responses.get(code);
        }
    }

    /** The counts that a line of the log gives the differences of. */
    private record LoggedCounts(
            long served, long busy, long failed, long clientsLeft, long faulty, long evicted, long rejectedUnread) {
        static final LoggedCounts NONE = new LoggedCounts(0, 0, 0, 0, 0, 0, 0);

        LoggedCounts since(LoggedCounts earlier) {
            return new LoggedCounts(
                    served - earlier.served,
                    busy - earlier.busy,
                    failed - earlier.failed,
                    clientsLeft - earlier.clientsLeft,
                    faulty - earlier.faulty,
                    evicted - earlier.evicted,
                    rejectedUnread - earlier.rejectedUnread);
        }
    }

    private final Map<String, PerClass> classes = new ConcurrentSkipListMap<>();
    private final Map<String, LongAdder> unservedByReason = new ConcurrentSkipListMap<>();
    private final LongAdder servedNanos = new LongAdder();
    private final LongAdder requestsAccepted = new LongAdder();
    private final LongAdder requestsCompleted = new LongAdder();
    private final LongAdder attempts = new LongAdder();
    private final LongAdder reloadsApplied = new LongAdder();
    private final LongAdder reloadsFailed = new LongAdder();
    private final LongAdder faultyRequests = new LongAdder();
    private final LongAdder connectionsEvicted = new LongAdder();
    private final LongAdder clientsLeft = new LongAdder();
    private final LongAdder connectionsRejectedUnread = new LongAdder();
    private volatile HostCounts hostCounts = new HostCounts(0, 0);
    private LoggedCounts lastLogged = LoggedCounts.NONE;

    /** Has these classes shown, at 0 where nothing has come of them. */
    public void showClasses(Collection<String> names) {
        names.forEach(this::perClass);
    }

    private PerClass perClass(String name) {
        return classes.computeIfAbsent(name, absent -> new PerClass());
    }

    /** A request has been accepted whole: a response is owed. */
    public void requestAccepted() {
        requestsAccepted.increment();
    }

    /** An accepted request is over: answered, or its client has left. */
    public void requestCompleted() {
        requestsCompleted.increment();
    }

    /** A request's final response has been written to its client, {@code tookNanos} after the request was accepted. */
    public void responseWritten(String requestClass, ResponseCode code, long tookNanos) {
        perClass(requestClass).count(code).increment();
        if (code == ResponseCode.SUCCESS) {
            servedNanos.add(tookNanos);
        }
    }

    /** All responses written so far. */
    public Totals totals() {
        long nanos = servedNanos.sum();
        return new Totals(sum(ResponseCode.SUCCESS), sum(ResponseCode.BUSY), sum(ResponseCode.FAILURE), nanos);
    }

    private long sum(ResponseCode code) {
        long sum = 0;
        for (PerClass counts : classes.values()) {
            sum += counts.count(code).sum();
        }
        return sum;
    }

    /** The last byte of an attempt has been written to a worker. */
    public void attemptSent() {
        attempts.increment();
    }

    /** A request that no worker may see was answered with an error; it is not accepted. */
    public void faultyRequest() {
        faultyRequests.increment();
    }

    /** A silent connection was closed for a new one. */
    public void connectionEvicted() {
        connectionsEvicted.increment();
    }

    /** A client left before its response. */
    public void clientLeft() {
        clientsLeft.increment();
    }

    /** A request was ended unserved for this reason. */
    public void requestUnserved(Enum<?> reason) {
        unservedByReason
                .computeIfAbsent(reason.name().toLowerCase(Locale.ROOT), absent -> new LongAdder())
                .increment();
    }

    /** A connection was rejected unread, as no thread was left for it: what it brought is of no class. */
    public void connectionRejectedUnread() {
        connectionsRejectedUnread.increment();
    }

    /** A configuration was applied at a reload, or could not be used. */
    public void reconfigured(boolean applied) {
        (applied ? reloadsApplied : reloadsFailed).increment();
    }

    /** The workers on the list, and those avoided, as of now. */
    public void setHostCounts(HostCounts counts) {
        hostCounts = counts;
    }

    /** How many requests are accepted and not over. */
    public long inflight() {
        long completed = requestsCompleted.sum(); // first: else the difference could come out below 0
        return Math.max(0, requestsAccepted.sum() - completed);
    }

    /** All metrics, a line each, by the operators' names. */
    public String text() {
        StringBuilder text = new StringBuilder(INITIAL_TEXT_CHARS);
        classes.forEach((name, counts) -> {
            for (ResponseCode code : ResponseCode.values()) {
                String label = code.name().toLowerCase(Locale.ROOT);
                line(
                        text,
                        "calls{tier=\"" + name + "\",code=\"" + label + "\"}",
                        counts.count(code).sum());
            }
        });
        HostCounts hosts = hostCounts;
        line(text, "backend_calls", attempts.sum());
        line(text, "inflight", inflight());
        line(text, "hosts_listed", hosts.listed());
        line(text, "hosts_down", hosts.down());
        unservedByReason.forEach((reason, count) -> line(text, "unserved{why=\"" + reason + "\"}", count.sum()));
        line(text, "reconfig_ok", reloadsApplied.sum());
        line(text, "reconfig_failed", reloadsFailed.sum());
        return text.toString();
    }

    private static void line(StringBuilder text, String name, long value) {
        text.append("app_").append(name).append(' ').append(value).append('\n');
    }

    /** Writes what came since the last line in the log; nothing where nothing did. To be called by one thread. */
    public void logCounts(int clientConnections) {
        LoggedCounts counts = new LoggedCounts(
                sum(ResponseCode.SUCCESS),
                sum(ResponseCode.BUSY),
                sum(ResponseCode.FAILURE),
                clientsLeft.sum(),
                faultyRequests.sum(),
                connectionsEvicted.sum(),
                connectionsRejectedUnread.sum());
        LoggedCounts added = counts.since(lastLogged);
        lastLogged = counts;
        if (added.equals(LoggedCounts.NONE)) {
            return;
        }
        Logger.info(
                "served {}, busy {}, failed {}, clients left {}; faulty requests {}, silent connections "
                        + "closed for others {}, refused unread {}; {} client connections",
                added.served(),
                added.busy(),
                added.failed(),
                added.clientsLeft(),
                added.faulty(),
                added.evicted(),
                added.rejectedUnread(),
                clientConnections);
        if (!unservedByReason.isEmpty()) {
            Event event = Event.of("requests.unserved_since_start");
            unservedByReason.forEach((reason, count) -> event.with(reason, count.sum()));
            event.info();
        }
    }
}
