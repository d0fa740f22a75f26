package maplespread.partition;

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
public final class Hearings {
    /**
     * What one elector knows of a dispatcher: its newest run, the last of its questions by number, for how
     * long it has been quiet, and whether it wants slots.
     */
    public record Heard(long run, long number, long quietMs, boolean serving) {
        private boolean after(Heard o) {
            return o == null || run > o.run || run == o.run && number > o.number;
        }
    }

    /** What one elector tells: for how long it listens, and of whom it has heard. */
    public record Report(long listensMs, Map<String, Heard> heard) {}

    private record Told(Report report, long at) {}

    private final long since;
    private long lookedAt, wokeAt; // whether it leads; after a standstill
    private final Map<String, Heard> own = new TreeMap<>(); // quietMs: when it was heard
    private final Map<String, Told> told = new HashMap<>(); // by elector

    public Hearings(long now) {
        since = now;
        lookedAt = now;
        wokeAt = now;
    }

    /** This one has heard a dispatcher's question. */
    public void heard(long now, String name, long run, long number, boolean serving) {
        own.merge(name, new Heard(run, number, now, serving), (was, is) -> is.after(was) ? is : was);
    }

    /** Forgets all but these. */
    public void keep(Collection<String> names) {
        own.keySet().retainAll(names);
    }

    /** What this one has to tell as an elector. */
    public Report report(long now) {
        Map<String, Heard> all = new TreeMap<>();
        own.forEach((name, h) -> all.put(name, new Heard(h.run, h.number, now - h.quietMs, h.serving)));
        return new Report(now - since, all);
    }

    /** Another elector's report has come. */
    public void told(long now, String elector, Report report) {
        told.put(elector, new Told(report, now));
    }

    /**
     * Whether this elector, {@code self}, is the first of those that it hears: it alone proposes. Not while
     * it hears no majority, nor just after it stood still itself: then all others look silent to it.
     */
    public boolean leads(long now, List<String> electors, String self, long silentMs) {
        wokeAt = now - lookedAt > silentMs ? now : wokeAt;
        lookedAt = now;
        long fresh = electors.stream()
                .filter(e -> e.equals(self) || told.containsKey(e) && now - told.get(e).at < silentMs)
                .count();
        if (now - wokeAt < silentMs || 2 * fresh <= electors.size()) {
            return false;
        }
        for (String e : electors) {
            Told t = told.get(e);
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
    public record Patience(long silentMs, long goneMs) {}

    /**
     * The members as they are to be. Whoever a majority hears and who wants slots comes in; whoever no
     * majority hears is silent, and after a while gone; who is heard as another run, or wants none, goes.
     */
    public Owners members(long now, List<String> electors, String self, Owners owners, Patience set) {
        Set<String> members = new TreeSet<>(owners.members());
        Set<String> silent = new TreeSet<>();
        all(now, electors, self, owners).forEach((name, heard) -> {
            Heard newest = heard.stream().reduce((a, b) -> b.after(a) ? b : a).orElseThrow();
            String id = name + '#' + newest.run;
            long quiet = heard.stream()
                    .mapToLong(Heard::quietMs)
                    .sorted()
                    .skip(electors.size() / 2)
                    .findFirst()
                    .orElseThrow(); // the least that a majority reaches
            members.removeIf(m -> Owners.name(m).equals(name)
                    && (quiet > set.goneMs || newest.run > 0 && (!m.equals(id) || !newest.serving)));
            if (newest.run > 0 && newest.serving && quiet <= set.silentMs) {
                members.add(id);
            } else if (quiet > set.silentMs) {
                members.stream().filter(m -> Owners.name(m).equals(name)).forEach(silent::add);
            }
        });
        return owners.members(members).silent(silent);
    }

    /** Of each name what every elector knows; where one has told nothing, nothing since this one began. */
    private Map<String, List<Heard>> all(long now, List<String> electors, String self, Owners owners) {
        Set<String> names = new TreeSet<>(own.keySet());
        owners.members().forEach(m -> names.add(Owners.name(m)));
        told.values().forEach(t -> names.addAll(t.report.heard.keySet()));
        Told nothing = new Told(new Report(0, Map.of()), since);
        Map<String, List<Heard>> all = new TreeMap<>();
        for (String name : names) {
            List<Heard> heard = new ArrayList<>();
            for (String e : electors) {
                Told t = e.equals(self) ? new Told(report(now), now) : told.getOrDefault(e, nothing);
                Heard h = t.report.heard.get(name);
                long later = now - t.at;
                heard.add(
                        h == null
                                ? new Heard(0, 0, t.report.listensMs + later, false)
                                : new Heard(h.run, h.number, h.quietMs + later, h.serving));
            }
            all.put(name, heard);
        }
        return all;
    }
}
