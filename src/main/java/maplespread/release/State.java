package maplespread.release;

import com.google.gson.Gson;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import maplespread.release.View.Role;
import maplespread.release.View.Service;

/**
 * All that is agreed; immutable. {@code limits}: the standing ones, or null; {@code release}: the one that is
 * on, or the last one, or null; {@code calm}: grows with all that begins the quiet time anew; {@code grants}:
 * number of the last leave; {@code acts}: grows with every act of an operator and every halt, so that a late
 * act is told from one that knew of it; {@code ended}: names of the releases before.
 */
public record State(
        Limits limits,
        Release release,
        SortedMap<String, Known> members,
        SortedMap<String, Leave> leaves,
        SortedMap<String, Accident> accidents,
        Halt halt,
        long calm,
        long grants,
        long acts,
        long beats,
        List<String> ended,
        List<Act> log) {

    public enum Phase {
        RUNNING,
        HALTED,
        ROLLING_BACK,
        ABANDONING,
        DONE,
        ROLLED_BACK,
        ABANDONED
    }

    /**
     * {@code moves}: the phase but for a halt; {@code open}: the step in which leave needs no quiet time, -1:
     * none; {@code tries}: how often a member came back other than wanted.
     */
    public record Release(
            Plan plan,
            Phase moves,
            List<List<String>> steps,
            int open,
            SortedMap<String, Integer> tries,
            Service before) {
        public Release {
            steps = List.copyOf(steps);
            tries = sorted(tries);
        }

        Release with(Phase next) {
            return new Release(plan, next, steps, -1, new TreeMap<>(), before);
        }

        /** The quiet time begins anew. */
        Release with(int nowOpen) {
            return new Release(plan, moves, steps, nowOpen, tries, before);
        }

        Release with(List<List<String>> now) {
            return new Release(plan, moves, now, -1, tries, before);
        }

        boolean names(String member) {
            return steps.stream().anyMatch(s -> s.contains(member));
        }
    }

    /**
     * A member of the fleet. {@code full}: its capacity when warm; {@code run}: the newest that was told;
     * {@code changed}: it is where the release goes to, and would have to move where that is rolled back.
     */
    public record Known(
            String address, Role role, String zone, String kind, String cell, double full, long run, boolean changed) {}

    /**
     * {@code number}: grows with every grant; {@code run}: the one that may leave, 0: none any more;
     * {@code release}: empty for one by hand; {@code why}: of a release the phase, else the operator's words.
     */
    public record Leave(long number, long run, String release, String why) {}

    /** Out without leave: who saw it, and what. */
    public record Accident(String by, String why) {}

    public record Halt(long number, String by, String why) {}

    public record Act(String by, String what, String why) {}

    public static final State EMPTY = new State(null, null, null, null, null, null, 0, 0, 0, 0, null, null);
    private static final Gson GSON = new Gson();
    private static final int LONG = 16 * 1024;

    public State {
        members = sorted(members);
        leaves = sorted(leaves);
        accidents = sorted(accidents);
        ended = ended == null ? List.of() : List.copyOf(ended);
        log = log == null ? List.of() : List.copyOf(log);
    }

    private static <V> SortedMap<String, V> sorted(SortedMap<String, V> map) {
        return Collections.unmodifiableSortedMap(map == null ? new TreeMap<>() : new TreeMap<>(map));
    }

    static int compare(List<String> a, List<String> b) {
        for (int i = 0; i < Math.min(a.size(), b.size()); i++) {
            int c = a.get(i).compareTo(b.get(i));
            if (c != 0) {
                return c;
            }
        }
        return Integer.compare(a.size(), b.size());
    }

    /** "" is the empty state. */
    public static State read(String text) {
        return text.isEmpty() ? EMPTY : GSON.fromJson(text.startsWith("{") ? text : unpacked(text), State.class);
    }

    /** JSON; packed where it is long, for a register takes only so much. */
    public String text() {
        String json = GSON.toJson(this);
        return json.length() < LONG ? json : packed(json);
    }

    private static String packed(String json) {
        byte[] plain = json.getBytes(StandardCharsets.UTF_8);
        byte[] small = new byte[plain.length + 64];
        Deflater d = new Deflater();
        d.setInput(plain);
        d.finish();
        int n = d.deflate(small);
        d.end();
        return plain.length + ":" + Base64.getEncoder().encodeToString(Arrays.copyOf(small, n));
    }

    private static String unpacked(String text) {
        int colon = text.indexOf(':');
        byte[] plain = new byte[Integer.parseInt(text.substring(0, colon))];
        Inflater i = new Inflater();
        try {
            i.setInput(Base64.getDecoder().decode(text.substring(colon + 1)));
            i.inflate(plain);
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("not the text of a state", e);
        } finally {
            i.end();
        }
        return new String(plain, StandardCharsets.UTF_8);
    }

    /** HALTED, or where the release is going; null where there never was one. */
    public Phase phase() {
        return release == null ? null : on() && halt != null ? Phase.HALTED : release.moves;
    }

    /** Whether a release is on: not yet done, rolled back or abandoned. */
    public boolean on() {
        return release != null
                && (release.moves == Phase.RUNNING
                        || release.moves == Phase.ROLLING_BACK
                        || release.moves == Phase.ABANDONING);
    }

    /** The limits that count now, all of them: the standing ones and the release's own. */
    public List<Limits> inForce() {
        List<Limits> all = new ArrayList<>();
        if (limits != null) {
            all.add(limits);
        }
        if (on() && release.plan.limits() != null) {
            all.add(release.plan.limits());
        }
        return all;
    }

    /** The longest quiet time in force. */
    public long quietMs() {
        return inForce().stream().mapToLong(Limits::quietMs).max().orElse(0);
    }

    /** The shortest time in force within which a member has to be back. */
    public long backMs() {
        return inForce().stream().mapToLong(Limits::backMs).min().orElse(Long.MAX_VALUE);
    }

    /** Whoever is out as far as is told: with leave, or by accident. */
    public Set<String> out() {
        Set<String> out = new TreeSet<>(leaves.keySet());
        out.addAll(accidents.keySet());
        return out;
    }

    /** The release's members that are where it goes to. */
    public Set<String> changed() {
        return whose(true);
    }

    /** The release's members that have still to move, leave or not. */
    public Set<String> todo() {
        return release == null || release.moves == Phase.ABANDONING
                ? Set.of()
                : whose(release.moves == Phase.ROLLING_BACK || release.moves == Phase.ROLLED_BACK);
    }

    private Set<String> whose(boolean changed) {
        Set<String> all = new TreeSet<>();
        if (release != null) {
            for (List<String> step : release.steps) {
                for (String m : step) {
                    if (members.get(m).changed == changed) {
                        all.add(m);
                    }
                }
            }
        }
        return all;
    }

    /** The step whose turn it is, the last ones first where it rolls back; -1: none is left. */
    public int step() {
        if (!on()) {
            return -1;
        }
        Set<String> left = todo();
        int n = release.steps.size();
        for (int k = 0; k < n; k++) {
            int i = release.moves == Phase.ROLLING_BACK ? n - 1 - k : k;
            for (String m : release.steps.get(i)) {
                Leave held = leaves.get(m);
                if (left.contains(m) || held != null && !held.release.isEmpty()) {
                    return i;
                }
            }
        }
        return -1;
    }
}
