package maplespread.release;

import com.google.gson.Gson;
import com.google.gson.annotations.SerializedName;
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
import maplespread.release.FleetView.Role;
import maplespread.release.FleetView.ServiceLevel;

/**
 * All that is agreed; immutable. {@code limits}: the standing ones, or null; {@code release}: the one that is
 * on, or the last one, or null; {@code calm}: grows with all that begins the quiet time anew; {@code grants}:
 * number of the last leave; {@code acts}: grows with every act of an operator and every halt, so that a late
 * act is told from one that knew of it; {@code ended}: names of the releases before.
 */
public record RolloutState(
        Limits limits,
        Release release,
        SortedMap<String, KnownMember> members,
        @SerializedName("leaves") SortedMap<String, PlannedOutage> plannedOutages,
        @SerializedName("accidents") SortedMap<String, UnplannedOutage> unplannedOutages,
        Halt halt,
        @SerializedName("calm") long stabilityVersion,
        @SerializedName("grants") long lastOutageNumber,
        @SerializedName("acts") long controlVersion,
        @SerializedName("beats") long heartbeats,
        @SerializedName("ended") List<String> pastReleases,
        List<LogEntry> log) {

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
            ReleasePlan plan,
            @SerializedName("moves") Phase activePhase,
            List<List<String>> steps,
            @SerializedName("open") int openStep,
            @SerializedName("tries") SortedMap<String, Integer> attempts,
            @SerializedName("before") ServiceLevel baseline) {
        public Release {
            steps = List.copyOf(steps);
            attempts = sorted(attempts);
        }

        Release with(Phase next) {
            return new Release(plan, next, steps, -1, new TreeMap<>(), baseline);
        }

        /** The quiet time begins anew. */
        Release with(int nowOpen) {
            return new Release(plan, activePhase, steps, nowOpen, attempts, baseline);
        }

        Release with(List<List<String>> now) {
            return new Release(plan, activePhase, now, -1, attempts, baseline);
        }

        boolean includes(String member) {
            return steps.stream().anyMatch(s -> s.contains(member));
        }
    }

    /**
     * A member of the fleet. {@code full}: its capacity when warm; {@code run}: the newest that was told;
     * {@code changed}: it is where the release goes to, and would have to move where that is rolled back.
     */
    public record KnownMember(
            String address,
            Role role,
            String zone,
            String kind,
            String cell,
            @SerializedName("full") double warmCapacity,
            @SerializedName("run") long incarnation,
            @SerializedName("changed") boolean updated) {}

    /**
     * {@code number}: grows with every grant; {@code run}: the one that may leave, 0: none any more;
     * {@code release}: empty for one by hand; {@code why}: of a release the phase, else the operator's words.
     */
    public record PlannedOutage(
            long number, @SerializedName("run") long incarnation, String release, String why) {}

    /** Out without leave: who saw it, and what. */
    public record UnplannedOutage(String by, String why) {}

    public record Halt(long number, String by, String why) {}

    public record LogEntry(String by, String what, String why) {}

    public static final RolloutState EMPTY =
            new RolloutState(null, null, null, null, null, null, 0, 0, 0, 0, null, null);
    private static final Gson GSON = new Gson();
    private static final int LONG = 16 * 1024;

    public RolloutState {
        members = sorted(members);
        plannedOutages = sorted(plannedOutages);
        unplannedOutages = sorted(unplannedOutages);
        pastReleases = pastReleases == null ? List.of() : List.copyOf(pastReleases);
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
    public static RolloutState parse(String text) {
        return text.isEmpty() ? EMPTY : GSON.fromJson(text.startsWith("{") ? text : unpacked(text), RolloutState.class);
    }

    /** JSON; packed where it is long, for a register takes only so much. */
    public String toText() {
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
        return release == null ? null : inProgress() && halt != null ? Phase.HALTED : release.activePhase;
    }

    /** Whether a release is on: not yet done, rolled back or abandoned. */
    public boolean inProgress() {
        return release != null
                && (release.activePhase == Phase.RUNNING
                        || release.activePhase == Phase.ROLLING_BACK
                        || release.activePhase == Phase.ABANDONING);
    }

    /** The limits that count now, all of them: the standing ones and the release's own. */
    public List<Limits> limitsInForce() {
        List<Limits> all = new ArrayList<>();
        if (limits != null) {
            all.add(limits);
        }
        if (inProgress() && release.plan.limits() != null) {
            all.add(release.plan.limits());
        }
        return all;
    }

    /** The longest quiet time in force. */
    public long quietMs() {
        return limitsInForce().stream().mapToLong(Limits::quietMs).max().orElse(0);
    }

    /** The shortest time in force within which a member has to be back. */
    public long backMs() {
        return limitsInForce().stream().mapToLong(Limits::backMs).min().orElse(Long.MAX_VALUE);
    }

    /** Whoever is out as far as is told: with leave, or by accident. */
    public Set<String> unavailableMembers() {
        Set<String> out = new TreeSet<>(plannedOutages.keySet());
        out.addAll(unplannedOutages.keySet());
        return out;
    }

    /** The release's members that are where it goes to. */
    public Set<String> updatedMembers() {
        return whose(true);
    }

    /** The release's members that have still to move, leave or not. */
    public Set<String> pendingMembers() {
        return release == null || release.activePhase == Phase.ABANDONING
                ? Set.of()
                : whose(release.activePhase == Phase.ROLLING_BACK || release.activePhase == Phase.ROLLED_BACK);
    }

    private Set<String> whose(boolean changed) {
        Set<String> all = new TreeSet<>();
        if (release != null) {
            for (List<String> step : release.steps) {
                for (String m : step) {
                    if (members.get(m).updated == changed) {
                        all.add(m);
                    }
                }
            }
        }
        return all;
    }

    /** The step whose turn it is, the last ones first where it rolls back; -1: none is left. */
    public int currentStep() {
        if (!inProgress()) {
            return -1;
        }
        Set<String> left = pendingMembers();
        int n = release.steps.size();
        for (int k = 0; k < n; k++) {
            int i = release.activePhase == Phase.ROLLING_BACK ? n - 1 - k : k;
            for (String m : release.steps.get(i)) {
                PlannedOutage held = plannedOutages.get(m);
                if (left.contains(m) || held != null && !held.release.isEmpty()) {
                    return i;
                }
            }
        }
        return -1;
    }
}
