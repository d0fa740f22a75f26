package maplespread.partition;

import com.google.gson.annotations.SerializedName;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Records which elector has heard which dispatcher, and derives the members from it. A dispatcher counts as silent
 * while no majority of the electors hears it, so that a single elector that is cut off itself takes no slots from
 * members that all others hear.
 *
 * <p>Not thread-safe: the callers hold one monitor around all calls. Times are milliseconds of one clock, which is
 * passed in.
 */
public final class HeartbeatTable {
    /**
     * What one elector knows of a dispatcher. The names in the JSON predate the names in the code.
     *
     * @param incarnation the latest incarnation heard; 0: none
     * @param sequence the sequence number of the last lease request of that incarnation
     * @param silentForMs the time since the dispatcher was last heard, or since the elector started if it never was
     * @param wantsSlots whether the dispatcher wants to own slots
     */
    public record Heartbeat(
            @SerializedName("run") long incarnation,
            @SerializedName("number") long sequence,
            @SerializedName("quietMs") long silentForMs,
            @SerializedName("serving") boolean wantsSlots) {
        private boolean isNewerThan(Heartbeat other) {
            return incarnation > other.incarnation || incarnation == other.incarnation && sequence > other.sequence;
        }

        private Heartbeat laterBy(long delayMs) {
            return new Heartbeat(incarnation, sequence, silentForMs + delayMs, wantsSlots);
        }
    }

    /**
     * The report of one elector.
     *
     * @param listeningForMs the time since the elector started to listen
     * @param heartbeats what it has heard, by the dispatcher's name
     */
    public record Report(
            @SerializedName("listensMs") long listeningForMs,
            @SerializedName("heard") Map<String, Heartbeat> heartbeats) {}

    /**
     * Timeouts of a member that no majority of the electors hears.
     *
     * @param silentMs the silence after which it gets no lease
     * @param goneMs the silence after which its slots move to other members
     */
    public record Timeouts(long silentMs, long goneMs) {}

    private record OwnHeartbeat(long incarnation, long sequence, long heardAtMs, boolean wantsSlots) {
        boolean isNewerThan(OwnHeartbeat other) {
            return incarnation > other.incarnation || incarnation == other.incarnation && sequence > other.sequence;
        }

        Heartbeat at(long nowMs) {
            return new Heartbeat(incarnation, sequence, nowMs - heardAtMs, wantsSlots);
        }
    }

    private record ReceivedReport(Report report, long receivedAtMs) {}

    private final long startedAtMs;
    /** When {@link #isLeader} was last called; a long interval between two calls reveals a process pause. */
    private long leaderAskedAtMs;

    /** When the end of the last process pause was noticed; before any pause, when this elector started. */
    private long lastPauseEndedAtMs;
    /** What this elector has heard itself, by the dispatcher's name. */
    private final Map<String, OwnHeartbeat> ownHeartbeats = new TreeMap<>();
    /** The latest report of each other elector. */
    private final Map<String, ReceivedReport> reportsByElector = new HashMap<>();

    /** The table of an elector that starts to listen now. */
    public HeartbeatTable(long nowMs) {
        startedAtMs = nowMs;
        leaderAskedAtMs = nowMs;
        lastPauseEndedAtMs = nowMs;
    }

    /**
     * Records that this elector received a dispatcher's lease request, which serves as its heartbeat. A request that
     * was overtaken by a newer one changes nothing.
     */
    public void recordHeartbeat(long nowMs, String name, long incarnation, long sequence, boolean wantsSlots) {
        ownHeartbeats.merge(
                name,
                new OwnHeartbeat(incarnation, sequence, nowMs, wantsSlots),
                (known, next) -> next.isNewerThan(known) ? next : known);
    }

    /** Removes what this elector has heard of all dispatchers except these. */
    public void retain(Collection<String> names) {
        ownHeartbeats.keySet().retainAll(names);
    }

    /** The report of this elector. */
    public Report report(long nowMs) {
        Map<String, Heartbeat> heartbeats = new TreeMap<>();
        ownHeartbeats.forEach((name, heartbeat) -> heartbeats.put(name, heartbeat.at(nowMs)));
        return new Report(nowMs - startedAtMs, heartbeats);
    }

    /** Records the report of another elector. */
    public void recordReport(long nowMs, String elector, Report report) {
        reportsByElector.put(elector, new ReceivedReport(report, nowMs));
    }

    /**
     * Whether this elector leads, which means that it alone proposes assignments: it is the first in the list among the
     * electors that it hears. It does not lead while it hears no majority, nor for {@code silentMs} after its start or
     * a process pause, because all others look silent to it then.
     */
    public boolean isLeader(long nowMs, List<String> electors, String self, long silentMs) {
        lastPauseEndedAtMs = nowMs - leaderAskedAtMs > silentMs ? nowMs : lastPauseEndedAtMs;
        leaderAskedAtMs = nowMs;
        List<String> heard = electors.stream()
                .filter(elector -> elector.equals(self) || isHeard(elector, nowMs, silentMs))
                .toList();
        if (nowMs - lastPauseEndedAtMs < silentMs || 2 * heard.size() <= electors.size()) {
            return false;
        }
        return heard.get(0).equals(self);
    }

    private boolean isHeard(String elector, long nowMs, long silentMs) {
        ReceivedReport report = reportsByElector.get(elector);
        return report != null && nowMs - report.receivedAtMs < silentMs;
    }

    /**
     * The assignment with its members brought up to date. A dispatcher that a majority hears and that wants slots
     * becomes a member. A member that no majority hears becomes silent, and is removed after {@link Timeouts#goneMs}. A
     * member that is heard as another incarnation, or that wants no slots, is removed.
     */
    public SlotAssignment nextAssignment(
            long nowMs, List<String> electors, String self, SlotAssignment assignment, Timeouts timeouts) {
        Set<String> members = new TreeSet<>(assignment.members());
        Set<String> silent = new TreeSet<>();
        heartbeatsByName(nowMs, electors, self, assignment)
                .forEach((name, heartbeats) -> updateMembership(name, heartbeats, timeouts, members, silent));
        return assignment.members(members).silent(silent);
    }

    /** Updates {@code members} and {@code silent} by what all electors know of one dispatcher. */
    private static void updateMembership(
            String name, List<Heartbeat> heartbeats, Timeouts timeouts, Set<String> members, Set<String> silent) {
        Heartbeat newest = heartbeats.stream()
                .reduce((first, second) -> second.isNewerThan(first) ? second : first)
                .orElseThrow();
        String member = name + '#' + newest.incarnation;
        long silentForMs = silentForMajority(heartbeats);
        boolean heardOnce = newest.incarnation > 0;
        members.removeIf(known -> SlotAssignment.dispatcherName(known).equals(name)
                && (silentForMs > timeouts.goneMs || heardOnce && (!known.equals(member) || !newest.wantsSlots)));
        if (heardOnce && newest.wantsSlots && silentForMs <= timeouts.silentMs) {
            members.add(member);
        } else if (silentForMs > timeouts.silentMs) {
            members.stream()
                    .filter(known -> SlotAssignment.dispatcherName(known).equals(name))
                    .forEach(silent::add);
        }
    }

    /** The time in milliseconds within which a majority of the electors has heard the dispatcher. */
    private static long silentForMajority(List<Heartbeat> heartbeats) {
        return heartbeats.stream()
                .mapToLong(Heartbeat::silentForMs)
                .sorted()
                .skip(heartbeats.size() / 2)
                .findFirst()
                .orElseThrow();
    }

    /**
     * What each elector knows of each dispatcher, by the dispatcher's name. An elector without a report counts as
     * having heard nobody since this elector started.
     */
    private Map<String, List<Heartbeat>> heartbeatsByName(
            long nowMs, List<String> electors, String self, SlotAssignment assignment) {
        Set<String> names = new TreeSet<>(ownHeartbeats.keySet());
        assignment.members().forEach(member -> names.add(SlotAssignment.dispatcherName(member)));
        reportsByElector.values().forEach(received -> names.addAll(received.report.heartbeats.keySet()));
        ReceivedReport ownReport = new ReceivedReport(report(nowMs), nowMs);
        ReceivedReport noReport = new ReceivedReport(new Report(0, Map.of()), startedAtMs);
        Map<String, List<Heartbeat>> byName = new TreeMap<>();
        for (String name : names) {
            List<Heartbeat> heartbeats = new ArrayList<>();
            for (String elector : electors) {
                ReceivedReport received =
                        elector.equals(self) ? ownReport : reportsByElector.getOrDefault(elector, noReport);
                Heartbeat unheard = new Heartbeat(0, 0, received.report.listeningForMs, false);
                heartbeats.add(
                        received.report.heartbeats.getOrDefault(name, unheard).laterBy(nowMs - received.receivedAtMs));
            }
            byName.put(name, heartbeats);
        }
        return byName;
    }
}
