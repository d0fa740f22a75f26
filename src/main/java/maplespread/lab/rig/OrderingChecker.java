package maplespread.lab.rig;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whether order was kept, by what workers and clients saw and by the rig's one clock; of what dispatchers
 * think nothing is asked.
 *
 * <p>Order is judged where it can be known: a job that was answered other than in doubt before another of
 * its key was sent came first, whoever sent them. So a client that waits for each answer has its own order,
 * and two clients theirs where they cannot have overlapped.
 */
public final class OrderingChecker {
    /** A job as a worker had it, from when it had come whole until it had ended there. */
    record Ran(String id, String key, long start, long end) {}

    /** What its client got. */
    enum Got {
        DONE,
        REFUSED,
        DOUBT,
        NOTHING,
        EXCUSED
    }

    /** A job as its client had it. {@code once}: of a class that may not be repeated. */
    record Asked(String id, String key, boolean once, long sent, long answered, Got got) {}

    /**
     * {@code words}: the first few of what is wrong. {@code ran}: attempts that came to workers; {@code
     * again}: repeats of jobs that may be repeated, no wrong.
     */
    public record Verdict(
            int overlaps,
            int inversions,
            int twice,
            int unanswered,
            int unrun,
            int doubts,
            int ran,
            int again,
            List<String> words) {
        public int wrongs() {
            return overlaps + inversions + twice + unanswered + unrun;
        }
    }

    private static final int WORDS = 8;
    private final List<String> words = new ArrayList<>();
    private int overlaps, inversions, twice, unanswered, unrun, doubts, again;

    private OrderingChecker() {}

    static Verdict judge(Collection<Ran> ran, Collection<Asked> asked) {
        return new OrderingChecker().over(ran, asked);
    }

    private Verdict over(Collection<Ran> ran, Collection<Asked> asked) {
        Map<String, List<Ran>> byId = new HashMap<>();
        Map<String, List<Ran>> runs = new HashMap<>();
        ran.forEach(r -> {
            byId.computeIfAbsent(r.id, k -> new ArrayList<>()).add(r);
            runs.computeIfAbsent(r.key, k -> new ArrayList<>()).add(r);
        });
        Map<String, List<Asked>> keys = new HashMap<>();
        for (Asked a : asked) {
            keys.computeIfAbsent(a.key, k -> new ArrayList<>()).add(a);
            List<Ran> mine = byId.getOrDefault(a.id, List.of());
            doubts += a.got == Got.DOUBT ? 1 : 0;
            if (a.got == Got.NOTHING) {
                unanswered++;
                word(a + " has no answer");
            }
            if (a.got == Got.DONE && mine.isEmpty()) {
                unrun++;
                word(a + " was answered as done and no worker had it");
            }
            if (a.once && mine.size() > 1) {
                twice++;
                word("must not be repeated, ran " + mine);
            } else {
                again += Math.max(0, mine.size() - 1);
            }
        }
        runs.values().forEach(this::beside);
        keys.values().forEach(of -> before(of, byId));
        return new Verdict(
                overlaps, inversions, twice, unanswered, unrun, doubts, ran.size(), again, List.copyOf(words));
    }

    private void word(String what) {
        if (words.size() < WORDS) {
            words.add(what);
        }
    }

    /** Two jobs of one key at once; attempts of one job are one job. */
    private void beside(List<Ran> of) {
        of.sort(Comparator.comparingLong(Ran::start));
        List<Ran> open = new ArrayList<>();
        Set<String> said = new HashSet<>();
        for (Ran r : of) {
            open.removeIf(o -> o.end <= r.start);
            for (Ran o : open) {
                if (!o.id.equals(r.id) && said.add(o.id + ' ' + r.id)) {
                    overlaps++;
                    word("at once: " + o + " and " + r);
                }
            }
            open.add(r);
        }
    }

    /** A job that started after one of its key had, which was only sent when this one was answered. */
    private void before(List<Asked> of, Map<String, List<Ran>> byId) {
        List<Asked> sent = new ArrayList<>(of);
        sent.sort(Comparator.comparingLong(Asked::sent));
        of.removeIf(a -> a.got != Got.DONE && a.got != Got.REFUSED || !byId.containsKey(a.id));
        of.sort(Comparator.comparingLong(Asked::answered));
        int next = 0;
        Ran last = null; // the latest start of those answered so far
        Asked whose = null;
        for (Asked later : sent) {
            for (; next < of.size() && of.get(next).answered < later.sent; next++) {
                for (Ran r : byId.get(of.get(next).id)) {
                    whose = last == null || r.start > last.start ? of.get(next) : whose;
                    last = last == null || r.start > last.start ? r : last;
                }
            }
            for (Ran r : byId.getOrDefault(later.id, List.of())) {
                if (last != null && last.start > r.start) {
                    inversions++;
                    word(whose + ", ran " + byId.get(whose.id) + ", started after " + r + ", " + later);
                    break;
                }
            }
        }
    }
}
