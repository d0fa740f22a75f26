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
 * Which elector has heard which dispatcher, and what follows for the members. A dispatcher counts as silent for as
 * long as a majority of the electors has not heard it, so that one elector which is cut off itself takes no slots
 * from members that all others hear.
 *
 * <p>Not thread-safe: the callers hold one monitor around all calls. Times are milliseconds of one clock, which is
 * passed in.
 */
public final class HeartbeatTable {
    /**
     * What one elector knows of a dispatcher. The names in the JSON are older than the code's.
     *
     * @param incarnation the newest that was heard; 0: none
     * @param sequence the number of its last lease request
     * @param silentForMs for how long it has not been heard
     * @param wantsSlots whether it wants to own slots
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
     * What one elector reports: for how long it listens, and whom it has heard, by name.
     *
     * @param listeningForMs since it began
     */
    public record Report(
            @SerializedName("listensMs") long listeningForMs,
            @SerializedName("heard") Map<String, Heartbeat> heartbeats) {}

    /**
     * When a member that no majority hears loses what.
     *
     * @param silentMs then it gets no lease
     * @param goneMs then its slots go to others
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
    /** When {@link #isLeader} was last asked, by which a pause of the process is seen. */
    private long leaderAskedAtMs;

    private long lastPauseEndedAtMs;
    /** What this elector has heard itself, by dispatcher. */
    private final Map<String, OwnHeartbeat> own = new TreeMap<>();
    /** The other electors' latest reports. */
    private final Map<String, ReceivedReport> reports = new HashMap<>();

    /** An elector that begins to listen now. */
    public HeartbeatTable(long nowMs) {
        startedAtMs = nowMs;
        leaderAskedAtMs = nowMs;
        lastPauseEndedAtMs = nowMs;
    }

    /** This elector has received a dispatcher's lease request, its heartbeat; one that was overtaken on its way changes nothing. */
    public void recordHeartbeat(long nowMs, String name, long incarnation, long sequence, boolean wantsSlots) {
        own.merge(
                name,
                new OwnHeartbeat(incarnation, sequence, nowMs, wantsSlots),
                (known, next) -> next.isNewerThan(known) ? next : known);
    }

    /** Forgets all dispatchers but these. */
    public void retain(Collection<String> names) {
        own.keySet().retainAll(names);
    }

    /** What this elector has to report. */
    public Report report(long nowMs) {
        Map<String, Heartbeat> heartbeats = new TreeMap<>();
        own.forEach((name, heartbeat) -> heartbeats.put(name, heartbeat.at(nowMs)));
        return new Report(nowMs - startedAtMs, heartbeats);
    }

    /** Another elector's report has come. */
    public void recordReport(long nowMs, String elector, Report report) {
        reports.put(elector, new ReceivedReport(report, nowMs));
    }

    /**
     * Whether this elector is the first of those that it hears: it alone proposes. Not while it hears no majority,
     * nor just after its process was paused: then all others look silent to it.
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
        ReceivedReport report = reports.get(elector);
        return report != null && nowMs - report.receivedAtMs < silentMs;
    }

    /**
     * The assignment with the members as they are to be. Whoever a majority hears and who wants slots comes in; whoever
     * no majority hears is silent, and after a while gone; who is heard as another incarnation, or wants none, goes.
     */
    public SlotAssignment nextAssignment(
            long nowMs, List<String> electors, String self, SlotAssignment assignment, Timeouts timeouts) {
        Set<String> members = new TreeSet<>(assignment.members());
        Set<String> silent = new TreeSet<>();
        heartbeatsByName(nowMs, electors, self, assignment)
                .forEach((name, heartbeats) -> decide(name, heartbeats, timeouts, members, silent));
        return assignment.members(members).silent(silent);
    }

    /** Changes {@code members} and {@code silent} by what all electors know of one dispatcher. */
    private static void decide(
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

    /** The shortest silence that a majority of the electors sees, at least. */
    private static long silentForMajority(List<Heartbeat> heartbeats) {
        return heartbeats.stream()
                .mapToLong(Heartbeat::silentForMs)
                .sorted()
                .skip(heartbeats.size() / 2)
                .findFirst()
                .orElseThrow();
    }

    /** Of each name what every elector knows; an elector that reported nothing counts as silent since the start. */
    private Map<String, List<Heartbeat>> heartbeatsByName(
            long nowMs, List<String> electors, String self, SlotAssignment assignment) {
        Set<String> names = new TreeSet<>(own.keySet());
        assignment.members().forEach(member -> names.add(SlotAssignment.dispatcherName(member)));
        reports.values().forEach(received -> names.addAll(received.report.heartbeats.keySet()));
        ReceivedReport ownReport = new ReceivedReport(report(nowMs), nowMs);
        ReceivedReport noReport = new ReceivedReport(new Report(0, Map.of()), startedAtMs);
        Map<String, List<Heartbeat>> byName = new TreeMap<>();
        for (String name : names) {
            List<Heartbeat> heartbeats = new ArrayList<>();
            for (String elector : electors) {
                ReceivedReport received = elector.equals(self) ? ownReport : reports.getOrDefault(elector, noReport);
                Heartbeat unheard = new Heartbeat(0, 0, received.report.listeningForMs, false);
                heartbeats.add(
                        received.report.heartbeats.getOrDefault(name, unheard).laterBy(nowMs - received.receivedAtMs));
            }
            byName.put(name, heartbeats);
        }
        return byName;
    }
}
