package maplespread.release;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import maplespread.release.FleetView.Role;
import maplespread.release.ReleaseRejectedException.Reason;
import maplespread.release.RolloutState.KnownMember;

/**
 * What a release is to change. Empty lists of zones, kinds, cells and names: all. {@code from}, {@code to}:
 * versions; {@code to} empty or the same: a restart, told by runs alone. {@code first}: "workers" or
 * "dispatchers"; {@code order}: of "zone", "kind", "cell", by which members stand, then by name;
 * {@code steps}: sizes of the steps, the last one repeats. {@code limits}: of its own, beside the standing
 * ones, or null.
 */
public record ReleasePlan(
        String id,
        String from,
        String to,
        boolean dispatchers,
        boolean workers,
        List<String> zones,
        List<String> kinds,
        List<String> cells,
        List<String> names,
        String first,
        List<String> order,
        List<Integer> steps,
        Limits limits) {
    private static final Set<String> KEYS = Set.of(
            "id",
            "from",
            "to",
            "dispatchers",
            "workers",
            "zones",
            "kinds",
            "cells",
            "names",
            "first",
            "order",
            "steps",
            "limits");
    private static final List<String> LIMITS = List.of(
            "dispatchers_out",
            "workers_out",
            "workers_out_zone",
            "workers_out_kind",
            "least_capacity",
            "quiet_ms",
            "back_ms",
            "worse_refused",
            "worse_errors",
            "worse_wait");

    /** Reads the console's JSON; what is not named has its default. */
    public static ReleasePlan read(String json) throws ReleaseRejectedException {
        try {
            JsonObject o = JsonParser.parseString(json).getAsJsonObject();
            known("", o, KEYS);
            ReleasePlan p = new ReleasePlan(
                    text(o, "id", ""),
                    text(o, "from", ""),
                    text(o, "to", ""),
                    flag(o, "dispatchers"),
                    flag(o, "workers"),
                    list(o, "zones"),
                    list(o, "kinds"),
                    list(o, "cells"),
                    list(o, "names"),
                    text(o, "first", "workers"),
                    list(o, "order"),
                    sizes(o),
                    o.has("limits") ? limits(o.getAsJsonObject("limits")) : null);
            p.check();
            return p;
        } catch (JsonParseException
                | IllegalStateException
                | ClassCastException
                | UnsupportedOperationException
                | IllegalArgumentException e) {
            throw bad("the plan cannot be read: " + e.getMessage());
        }
    }

    void check() throws ReleaseRejectedException {
        if (!id.matches("[A-Za-z0-9._-]{1,64}")) {
            throw bad("id: 1 to 64 letters, digits, dots, lines");
        }
        if (!dispatchers && !workers) {
            throw bad("neither dispatchers nor workers are to change");
        }
        if (!List.of("workers", "dispatchers").contains(first)) {
            throw bad("first: workers or dispatchers");
        }
        if (!List.of("zone", "kind", "cell").containsAll(order)) {
            throw bad("order: of zone, kind, cell");
        }
        if (steps.isEmpty() || steps.stream().anyMatch(s -> s < 1)) {
            throw bad("steps: sizes of 1 or more");
        }
    }

    /** Whether versions tell who is changed; else runs do. */
    boolean byVersion() {
        return !to.isEmpty() && !to.equals(from);
    }

    boolean names(String member, KnownMember m) {
        return (m.role() == Role.DISPATCHER ? dispatchers : workers)
                && of(zones, m.zone())
                && of(kinds, m.kind())
                && of(cells, m.cell())
                && of(names, member);
    }

    private static boolean of(List<String> list, String x) {
        return list.isEmpty() || list.contains(x);
    }

    /** The members that it names, cut into steps; no step mixes roles, nor what they are ordered by first. */
    List<List<String>> splitIntoSteps(Map<String, KnownMember> members) {
        Map<String, KnownMember> mine = new TreeMap<>(members);
        mine.entrySet().removeIf(e -> !names(e.getKey(), e.getValue()));
        List<String> all = new ArrayList<>(mine.keySet());
        all.sort(Comparator.comparing((String m) -> place(mine.get(m)), RolloutState::compare)
                .thenComparing(Comparator.naturalOrder()));
        List<List<String>> cut = new ArrayList<>();
        List<String> step = new ArrayList<>();
        List<String> before = List.of();
        for (String m : all) {
            List<String> head = place(mine.get(m)).subList(0, Math.min(2, order.size() + 1));
            int size = steps.get(Math.min(cut.size(), steps.size() - 1));
            if (!step.isEmpty() && (step.size() >= size || !head.equals(before))) {
                cut.add(List.copyOf(step));
                step.clear();
            }
            before = head;
            step.add(m);
        }
        if (!step.isEmpty()) {
            cut.add(List.copyOf(step));
        }
        return cut;
    }

    private List<String> place(KnownMember m) {
        List<String> by = new ArrayList<>();
        by.add(m.role() == (first.equals("workers") ? Role.WORKER : Role.DISPATCHER) ? "0" : "1");
        for (String key : order) {
            by.add(key.equals("zone") ? m.zone() : key.equals("kind") ? m.kind() : m.cell());
        }
        return by;
    }

    private static ReleaseRejectedException bad(String wrong) {
        return new ReleaseRejectedException(Reason.BAD_PLAN, wrong);
    }

    private static void known(String where, JsonObject o, Iterable<String> keys) throws ReleaseRejectedException {
        Set<String> left = new java.util.TreeSet<>(o.keySet());
        keys.forEach(left::remove);
        if (!left.isEmpty()) {
            throw bad("unknown key " + where + left.iterator().next());
        }
    }

    private static String text(JsonObject o, String key, String none) {
        return o.has(key) ? o.get(key).getAsString() : none;
    }

    private static boolean flag(JsonObject o, String key) {
        return o.has(key) && o.get(key).getAsBoolean();
    }

    private static List<String> list(JsonObject o, String key) {
        List<String> all = new ArrayList<>();
        if (o.has(key)) {
            for (JsonElement e : o.getAsJsonArray(key)) {
                all.add(e.getAsString());
            }
        }
        return List.copyOf(all);
    }

    private static List<Integer> sizes(JsonObject o) {
        return o.has("steps") ? list(o, "steps").stream().map(Integer::valueOf).toList() : List.of(1);
    }

    private static Limits limits(JsonObject o) throws ReleaseRejectedException {
        known("limits.", o, LIMITS);
        Limits n = Limits.NONE;
        return new Limits(
                number(o, 0, n.dispatchersOut()),
                number(o, 1, n.workersOut()),
                number(o, 2, n.workersOutZone()),
                number(o, 3, n.workersOutKind()),
                number(o, 4, 0),
                (long) number(o, 5, 0),
                (long) number(o, 6, n.backMs()),
                number(o, 7, n.worseRefused()),
                number(o, 8, n.worseErrors()),
                number(o, 9, n.worseWait()));
    }

    private static double number(JsonObject o, int key, double none) {
        return o.has(LIMITS.get(key)) ? o.get(LIMITS.get(key)).getAsDouble() : none;
    }
}
