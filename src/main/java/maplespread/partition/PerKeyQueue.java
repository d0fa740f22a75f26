package maplespread.partition;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToIntFunction;

/**
 * The jobs of the keys that this member owns: of each key one out at most, the others in the order in which
 * they were taken. Whether the fence lets a job go is asked at each send.
 *
 * <p>Guards against a key whose head's outcome is not known being served on while it may still run, against
 * work for jobs that can no longer make their deadline, and against a hot key that takes the room of others:
 * one key may fill no more of a partition's bound than is left free.
 */
public final class PerKeyQueue {
    /** Why a job is answered without having gone out. All but {@code STOPPED} may be tried again. */
    public enum Rejection {
        LATE,
        AGED,
        FULL,
        SKIPPED,
        STOPPED,
        MOVED
    }

    /**
     * How a job that was out has ended, all its attempts together. LINGERS: done, but an earlier attempt of
     * it may still run.
     */
    public enum ExecutionResult {
        DONE,
        FAILED,
        NEVER_RAN,
        UNKNOWN,
        DONE_ATTEMPT_MAY_RUN
    }

    /**
     * A job as it is taken; times are milliseconds of the clock that is passed in. {@code workMs}: how long
     * it is thought to run, 0 where nobody knows.
     */
    public record QueuedRequest(long id, String key, Rule rule, double workMs, long deadlineMs, long acceptedAtMs) {}

    /** What the queue asks and tells; none of these calls may call back. */
    public interface Callbacks {
        /** From when on the job may be sent; {@link FencingCheck#NEVER}: no longer by this member. */
        long sendAllowedFrom(QueuedRequest job);

        void send(QueuedRequest job);

        void reject(QueuedRequest job, Rejection why);
    }

    private static final class KeyState {
        final Map<Long, QueuedRequest> waiting = new LinkedHashMap<>();
        QueuedRequest out;
        long sentAt;
        long heldUntil = Long.MIN_VALUE;
        boolean stopping; // not seen among the stored ones yet
        long dueAt = Long.MAX_VALUE;
    }

    private record Wakeup(long at, String key) {}

    /** What waits in one partition. */
    private static final class PartitionLoad {
        int jobs;
        double workMs;
    }

    private final LeaseSettings set;
    private final Map<String, QueueLimits> bounds = new HashMap<>();
    private final Callbacks sink;
    private final Map<String, KeyState> lines = new HashMap<>();
    private final Map<Long, String> keys = new HashMap<>(); // of all that wait or are out
    private final Map<String, PartitionLoad> sums = new HashMap<>();
    private final PriorityQueue<Wakeup> dues = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
    private Set<String> updateStoppedKeys = Set.of();

    public PerKeyQueue(LeaseSettings set, Callbacks sink) {
        this.set = set;
        this.sink = sink;
    }

    /** These partitions there are now. */
    public void updatePartitions(Collection<Partition> all) {
        all.forEach(p -> bounds.put(p.name(), p.limits()));
    }

    /** The stored keys that are stopped; one that is no longer among them takes jobs again. */
    public void updateStoppedKeys(Set<String> stored) {
        updateStoppedKeys = stored;
        for (String key : stored) {
            KeyState line = lines.get(key);
            if (line != null) {
                line.stopping = false;
            }
        }
    }

    /**
     * Keys that have stopped here and are not stored yet ({@link SlotAssignment#stopKey}): to be stored before the
     * failure of their head is answered.
     */
    public Set<String> unstoredStops() {
        Set<String> all = new TreeSet<>();
        lines.forEach((key, line) -> {
            if (line.stopping) {
                all.add(key);
            }
        });
        return all;
    }

    /** The stop was not taken up, so the failure is answered as in doubt, and the key goes on. */
    public void stopNotStored(long now, String key) {
        KeyState line = lines.get(key);
        if (line != null) {
            line.stopping = false;
            look(now, key, line);
        }
    }

    /** Jobs that wait for their turn. */
    public int waitingCount() {
        return sums.values().stream().mapToInt(s -> s.jobs).sum();
    }

    /** Milliseconds of work that wait for a partition: what is to come there. */
    public double waitingWorkMs(String partition) {
        PartitionLoad sum = sums.get(partition);
        return sum == null ? 0 : sum.workMs;
    }

    /** Takes a job: from here on its place in its key's line is fixed. */
    public void enqueue(long now, QueuedRequest job) {
        KeyState line = lines.computeIfAbsent(job.key, k -> new KeyState());
        if (updateStoppedKeys.contains(job.key) || line.stopping) {
            sink.reject(job, Rejection.STOPPED);
        } else if (full(line, job)) {
            sink.reject(job, Rejection.FULL);
        } else {
            line.waiting.put(job.id, job);
            keys.put(job.id, job.key);
            count(job, 1);
        }
        look(now, job.key, line);
    }

    private boolean full(KeyState line, QueuedRequest job) {
        PartitionLoad sum = sums.computeIfAbsent(job.rule.partition(), p -> new PartitionLoad());
        QueueLimits each = job.rule.perKeyLimits();
        QueueLimits all = bounds.get(job.rule.partition());
        double work = job.workMs
                + line.waiting.values().stream()
                        .mapToDouble(QueuedRequest::workMs)
                        .sum();
        int jobs = line.waiting.size() + 1;
        return jobs > each.maxRequests()
                || work > each.maxWorkMs()
                || jobs > all.maxRequests() - sum.jobs
                || work > all.maxWorkMs() - sum.workMs;
    }

    private void count(QueuedRequest job, int sign) {
        PartitionLoad sum = sums.get(job.rule.partition());
        sum.jobs += sign;
        sum.workMs = sum.jobs == 0 ? 0 : sum.workMs + sign * job.workMs;
    }

    /** The job that was out has ended. */
    public void complete(long now, long id, ExecutionResult how) {
        String key = keys.get(id);
        KeyState line = key == null ? null : lines.get(key);
        if (line == null || line.out == null || line.out.id != id) {
            return;
        }
        Rule rule = line.out.rule;
        keys.remove(id);
        line.out = null;
        if (how == ExecutionResult.UNKNOWN || how == ExecutionResult.DONE_ATTEMPT_MAY_RUN) {
            line.heldUntil = now + set.withDriftMs(rule.maxRunMs());
        }
        // Where nobody knows, it may have failed.
        if (how == ExecutionResult.FAILED || how == ExecutionResult.UNKNOWN) {
            if (rule.onFailure() == Rule.OnFailure.STOP) {
                line.stopping = true;
                drop(line, Rejection.STOPPED);
            } else if (rule.onFailure() == Rule.OnFailure.SKIP) {
                drop(line, Rejection.SKIPPED);
            }
        }
        look(now, key, line);
    }

    private void drop(KeyState line, Rejection why) {
        for (QueuedRequest job : List.copyOf(line.waiting.values())) {
            answer(line, job, why);
        }
    }

    private void answer(KeyState line, QueuedRequest job, Rejection why) {
        leave(line, job);
        keys.remove(job.id);
        sink.reject(job, why);
    }

    private void leave(KeyState line, QueuedRequest job) {
        line.waiting.remove(job.id);
        count(job, -1);
    }

    /** Nobody waits for the job any more. One that is out still holds its key. */
    public void cancel(long now, long id) {
        String key = keys.get(id);
        KeyState line = key == null ? null : lines.get(key);
        if (line != null && line.waiting.containsKey(id)) {
            leave(line, line.waiting.get(id));
            keys.remove(id);
            look(now, key, line);
        }
    }

    /** Does what is due; returns when to be called again. */
    public long runDue(long now) {
        while (!dues.isEmpty() && dues.peek().at <= now) {
            Wakeup due = dues.remove();
            KeyState line = lines.get(due.key);
            if (line != null && line.dueAt == due.at) {
                line.dueAt = Long.MAX_VALUE;
                look(now, due.key, line);
            }
        }
        return dues.isEmpty() ? Long.MAX_VALUE : dues.peek().at;
    }

    /** The fence or the tables have changed: every line is looked at. */
    public void reevaluateAll(long now) {
        for (String key : List.copyOf(lines.keySet())) {
            look(now, key, lines.get(key));
        }
    }

    /** Slots of which a job is out or may still run, or a stop is to be stored. */
    public Set<Integer> busySlots(long now, ToIntFunction<String> slotOf) {
        Set<Integer> all = new HashSet<>();
        lines.forEach((key, line) -> {
            if (line.out != null || line.heldUntil > now || line.stopping) {
                all.add(slotOf.applyAsInt(key));
            }
        });
        return all;
    }

    /** Answers what cannot go out in time, sends the head if it may go, and notes when to look again. */
    private void look(long now, String key, KeyState line) {
        long free = Math.max(now, line.heldUntil);
        if (line.out != null) {
            free = Math.max(free, line.sentAt + (long) line.out.workMs);
        }
        long due = line.heldUntil > now ? line.heldUntil : Long.MAX_VALUE;
        for (QueuedRequest job : new ArrayList<>(line.waiting.values())) {
            long from = sink.sendAllowedFrom(job);
            long start = Math.max(free, from);
            long oldest = job.acceptedAtMs
                    + Math.min(
                            job.rule.perKeyLimits().maxAgeMs(),
                            bounds.get(job.rule.partition()).maxAgeMs());
            if (from == FencingCheck.NEVER) {
                answer(line, job, Rejection.MOVED);
            } else if (start + job.workMs > job.deadlineMs) {
                answer(line, job, Rejection.LATE);
            } else if (now >= oldest) {
                answer(line, job, Rejection.AGED);
            } else if (line.out == null && start <= now) {
                leave(line, job);
                line.out = job;
                line.sentAt = now;
                free = now + (long) job.workMs;
                sink.send(job);
            } else {
                // Behind a head that runs over, the last moment comes before the one that was reckoned.
                due = Math.min(due, Math.min(oldest, (long) (job.deadlineMs - job.workMs) + 1));
                due = line.out == null ? Math.min(due, start) : due;
                free = start + (long) job.workMs;
            }
        }
        if (line.waiting.isEmpty() && line.out == null && line.heldUntil <= now && !line.stopping) {
            lines.remove(key);
        } else if (due < Long.MAX_VALUE && due != line.dueAt) {
            line.dueAt = due;
            dues.add(new Wakeup(due, key));
        }
    }
}
