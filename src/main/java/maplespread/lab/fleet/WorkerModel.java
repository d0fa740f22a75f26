package maplespread.lab.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * A worker as the protocol's page describes one: slots, a queue served in order, a speed, a cold start that
 * warms with time, and the fall under too much work while it is cold. No clock and no threads: who owns it
 * says what time it is. Times are milliseconds, work milliseconds on a standard core.
 */
public final class WorkerModel<J> {
    /**
     * {@code coldFrom}: the share of its capacity at its start; {@code warmMs}: until it has all of it; sent
     * more than {@code fallMultiple} times what it can do at that moment for {@code fallMs}, it falls over.
     */
    public record Kind(int slots, double speed, double coldFrom, double warmMs, double fallMultiple, double fallMs) {}

    /** What became of a job at an instant: it started, or it is done. */
    public record Step<J>(J job, double atMs, boolean done) {}

    private record Running<J>(J job, double endMs) {}

    private record Sent(double atMs, double work) {}

    private record Waiting<J>(J job, double work) {}

    private final Kind kind;
    private final ArrayDeque<Waiting<J>> queue = new ArrayDeque<>();
    private final PriorityQueue<Running<J>> running =
            new PriorityQueue<>(Comparator.comparingDouble((Running<J> r) -> r.endMs()));
    private final ArrayDeque<Sent> sent = new ArrayDeque<>();
    private double sentWork;
    private double startedMs;
    private double slow = 1;
    private double worst;

    /** {@code startedMs}: when it started; long ago means warm. */
    public WorkerModel(Kind kind, double startedMs) {
        this.kind = kind;
        this.startedMs = startedMs;
    }

    /** Runs so many times slower from now on; jobs that run keep their pace. */
    public void slow(double times) {
        slow = times;
    }

    /** The share of its capacity that it has. */
    public double warmth(double nowMs) {
        double age = nowMs - startedMs;
        return age >= kind.warmMs ? 1 : kind.coldFrom + (1 - kind.coldFrom) * Math.max(0, age) / kind.warmMs;
    }

    public boolean cold(double nowMs) {
        return nowMs - startedMs < kind.warmMs;
    }

    /** What it can do in a millisecond now, in milliseconds of work. */
    public double capacity(double nowMs) {
        return kind.slots * kind.speed * warmth(nowMs) / slow;
    }

    /** A job came. */
    public void submit(double nowMs, J job, double work) {
        sent.add(new Sent(nowMs, work));
        sentWork += work;
        overdrive(nowMs);
        queue.add(new Waiting<>(job, work));
    }

    private void overdrive(double nowMs) {
        while (!sent.isEmpty() && sent.peek().atMs <= nowMs - kind.fallMs) {
            sentWork -= sent.remove().work;
        }
        if (cold(nowMs)) {
            worst = Math.max(worst, sentWork / (capacity(nowMs) * slow * kind.fallMs));
        }
    }

    /** The most work that was sent within the window while it was cold, over what it could do in it. */
    public double worst() {
        return worst;
    }

    /** Whether it would have fallen over. */
    public boolean overrun() {
        return worst > kind.fallMultiple;
    }

    /** All that happens up to now, in order; later jobs start when earlier ones are done. */
    public List<Step<J>> advance(double nowMs) {
        List<Step<J>> steps = new ArrayList<>();
        double at = Double.NEGATIVE_INFINITY;
        while (true) {
            while (!queue.isEmpty() && running.size() < kind.slots) {
                Waiting<J> w = queue.remove();
                double start = at == Double.NEGATIVE_INFINITY ? nowMs : at;
                double took = w.work / (kind.speed * warmth(start) / slow);
                running.add(new Running<>(w.job, start + took));
                steps.add(new Step<>(w.job, start, false));
            }
            if (running.isEmpty() || running.peek().endMs > nowMs) {
                return steps;
            }
            Running<J> r = running.remove();
            at = r.endMs;
            steps.add(new Step<>(r.job, r.endMs, true));
        }
    }

    /** When something happens next by itself; infinity where nothing runs. */
    public double nextMs() {
        return running.isEmpty() ? Double.POSITIVE_INFINITY : running.peek().endMs;
    }

    /** Takes a job out that nobody waits for any more, where it has not started; whether it had not. */
    public boolean drop(J job) {
        return queue.removeIf(w -> w.job == job);
    }

    /** It stops and starts anew, cold: what it held is lost, and returned here. */
    public List<J> restart(double nowMs) {
        List<J> lost = new ArrayList<>();
        running.forEach(r -> lost.add(r.job));
        queue.forEach(w -> lost.add(w.job));
        running.clear();
        queue.clear();
        sent.clear();
        sentWork = 0;
        startedMs = nowMs;
        return lost;
    }

    public double startedMs() {
        return startedMs;
    }

    public int freeSlots() {
        return Math.max(0, kind.slots - running.size() - queue.size());
    }

    /** Jobs that wait or run. */
    public int held() {
        return running.size() + queue.size();
    }

    public double util() {
        return running.size() / (double) kind.slots;
    }
}
