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
 * Who has been heard by which elector, and what follows for the members. A dispatcher counts as silent for as
 * long as a majority of the electors has not heard it: guards against one elector, cut off itself, taking
 * slots from members that all others hear.
 */
public final class HeartbeatTable {
    /**
     * What one elector knows of a dispatcher: its newest run, the last of its questions by number, for how
     * long it has been quiet, and whether it wants slots.
     */
    public record Heartbeat(
            @SerializedName("run") long incarnation,
            @SerializedName("number") long sequence,
            @SerializedName("quietMs") long silentForMs,
            @SerializedName("serving") boolean wantsSlots) {
        private boolean after(Heartbeat o) {
            return o == null || incarnation > o.incarnation || incarnation == o.incarnation && sequence > o.sequence;
        }
    }

    /** What one elector tells: for how long it listens, and of whom it has heard. */
    public record Report(
            @SerializedName("listensMs") long listeningForMs,
            @SerializedName("heard") Map<String, Heartbeat> heartbeats) {}

    private record ReceivedReport(Report report, long at) {}

    private final long since;
    private long lookedAt, wokeAt; // whether it leads; after a standstill
    private final Map<String, Heartbeat> own = new TreeMap<>(); // quietMs: when it was heard
    private final Map<String, ReceivedReport> recordReport = new HashMap<>(); // by elector

    public HeartbeatTable(long now) {
        since = now;
        lookedAt = now;
        wokeAt = now;
    }

    /** This one has heard a dispatcher's question. */
    public void recordHeartbeat(long now, String name, long run, long number, boolean serving) {
        own.merge(name, new Heartbeat(run, number, now, serving), (was, is) -> is.after(was) ? is : was);
    }

    /** Forgets all but these. */
    public void retain(Collection<String> names) {
        own.keySet().retainAll(names);
    }

    /** What this one has to tell as an elector. */
    public Report report(long now) {
        Map<String, Heartbeat> all = new TreeMap<>();
        own.forEach((name, h) ->
                all.put(name, new Heartbeat(h.incarnation, h.sequence, now - h.silentForMs, h.wantsSlots)));
        return new Report(now - since, all);
    }

    /** Another elector's report has come. */
    public void recordReport(long now, String elector, Report report) {
        recordReport.put(elector, new ReceivedReport(report, now));
    }

    /**
     * Whether this elector, {@code self}, is the first of those that it hears: it alone proposes. Not while
     * it hears no majority, nor just after it stood still itself: then all others look silent to it.
     */
    public boolean isLeader(long now, List<String> electors, String self, long silentMs) {
        wokeAt = now - lookedAt > silentMs ? now : wokeAt;
        lookedAt = now;
        long fresh = electors.stream()
                .filter(e -> e.equals(self) || recordReport.containsKey(e) && now - recordReport.get(e).at < silentMs)
                .count();
        if (now - wokeAt < silentMs || 2 * fresh <= electors.size()) {
            return false;
        }
        for (String e : electors) {
            ReceivedReport t = recordReport.get(e);
            if (e.equals(self)) {
                return true;
            }
            if (t != null && now - t.at < silentMs) {
                return false;
            }
        }
        return false;
    }

    /** {@code silentMs}, {@code goneMs}: not heard by a majority for so long, a member is silent, or gone. */
    public record Timeouts(long silentMs, long goneMs) {}

    /**
     * The members as they are to be. Whoever a majority hears and who wants slots comes in; whoever no
     * majority hears is silent, and after a while gone; who is heard as another run, or wants none, goes.
     */
    public SlotAssignment nextAssignment(
            long now, List<String> electors, String self, SlotAssignment owners, Timeouts set) {
        Set<String> members = new TreeSet<>(owners.members());
        Set<String> silent = new TreeSet<>();
        all(now, electors, self, owners).forEach((name, heard) -> {
            Heartbeat newest =
                    heard.stream().reduce((a, b) -> b.after(a) ? b : a).orElseThrow();
            String id = name + '#' + newest.incarnation;
            long quiet = heard.stream()
                    .mapToLong(Heartbeat::silentForMs)
                    .sorted()
                    .skip(electors.size() / 2)
                    .findFirst()
                    .orElseThrow(); // the least that a majority reaches
            members.removeIf(m -> SlotAssignment.dispatcherName(m).equals(name)
                    && (quiet > set.goneMs || newest.incarnation > 0 && (!m.equals(id) || !newest.wantsSlots)));
            if (newest.incarnation > 0 && newest.wantsSlots && quiet <= set.silentMs) {
                members.add(id);
            } else if (quiet > set.silentMs) {
                members.stream()
                        .filter(m -> SlotAssignment.dispatcherName(m).equals(name))
                        .forEach(silent::add);
            }
        });
        return owners.members(members).silent(silent);
    }

    /** Of each name what every elector knows; where one has told nothing, nothing since this one began. */
    private Map<String, List<Heartbeat>> all(long now, List<String> electors, String self, SlotAssignment owners) {
        Set<String> names = new TreeSet<>(own.keySet());
        owners.members().forEach(m -> names.add(SlotAssignment.dispatcherName(m)));
        recordReport.values().forEach(t -> names.addAll(t.report.heartbeats.keySet()));
        ReceivedReport nothing = new ReceivedReport(new Report(0, Map.of()), since);
        Map<String, List<Heartbeat>> all = new TreeMap<>();
        for (String name : names) {
            List<Heartbeat> heard = new ArrayList<>();
            for (String e : electors) {
                ReceivedReport t =
                        e.equals(self) ? new ReceivedReport(report(now), now) : recordReport.getOrDefault(e, nothing);
                Heartbeat h = t.report.heartbeats.get(name);
                long later = now - t.at;
                heard.add(
                        h == null
                                ? new Heartbeat(0, 0, t.report.listeningForMs + later, false)
                                : new Heartbeat(h.incarnation, h.sequence, h.silentForMs + later, h.wantsSlots));
            }
            all.put(name, heard);
        }
        return all;
    }
}
