package maplespread.release;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplespread.release.FleetView.Role;
import maplespread.release.ReleaseRejectedException.Reason;
import maplespread.release.RolloutState.KnownMember;

/**
 * The members that a release changes, and its steps. An empty list of zones, kinds, cells or names selects all. The
 * component names are JSON names of the agreed state.
 *
 * @param id an id that none of the last releases had
 * @param from the old version; empty: not specified
 * @param to the new version; empty or the same as {@code from}: a restart, detected by incarnations alone
 * @param first "workers" or "dispatchers", the role whose steps come first
 * @param order sort keys before the name, each one of "zone", "kind" and "cell"
 * @param steps the numbers of members in each step; the last one repeats
 * @param limits additional limits while the release is in progress; null: none
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
    static final String WORKERS = "workers";
    static final String DISPATCHERS = "dispatchers";
    static final String ZONE = "zone";
    static final String KIND = "kind";
    static final String CELL = "cell";

    private static final Comparator<List<String>> BY_ELEMENTS = ReleasePlan::compareElements;

    /**
     * Parses the JSON of an admin call; missing keys have defaults.
     *
     * @throws ReleaseRejectedException with {@link Reason#BAD_PLAN} and the invalid key
     */
    public static ReleasePlan read(String json) throws ReleaseRejectedException {
        ReleasePlan plan = ReleasePlanParser.parse(json);
        plan.validate();
        return plan;
    }

    void validate() throws ReleaseRejectedException {
        if (!id.matches("[A-Za-z0-9._-]{1,64}")) {
            throw invalid("id: 1 to 64 letters, digits, dots, lines");
        }
        if (!dispatchers && !workers) {
            throw invalid("neither dispatchers nor workers are to change");
        }
        if (!List.of(WORKERS, DISPATCHERS).contains(first)) {
            throw invalid("first: workers or dispatchers");
        }
        if (!List.of(ZONE, KIND, CELL).containsAll(order)) {
            throw invalid("order: of zone, kind, cell");
        }
        if (steps.isEmpty() || steps.stream().anyMatch(size -> size < 1)) {
            throw invalid("steps: sizes of 1 or more");
        }
    }

    private static ReleaseRejectedException invalid(String problem) {
        return new ReleaseRejectedException(Reason.BAD_PLAN, problem);
    }

    /** Whether versions show which members are updated; otherwise incarnations do. */
    boolean comparesVersions() {
        return !to.isEmpty() && !to.equals(from);
    }

    /** Whether the plan selects this member. */
    boolean includes(String name, KnownMember member) {
        return (member.role() == Role.DISPATCHER ? dispatchers : workers)
                && isAmong(zones, member.zone())
                && isAmong(kinds, member.kind())
                && isAmong(cells, member.cell())
                && isAmong(names, name);
    }

    private static boolean isAmong(List<String> wanted, String value) {
        return wanted.isEmpty() || wanted.contains(value);
    }

    /**
     * The selected members, sorted and split into steps. A step mixes neither roles nor values of the
     * first key of {@link #order}.
     */
    List<List<String>> splitIntoSteps(Map<String, KnownMember> members) {
        Map<String, KnownMember> included = new TreeMap<>(members);
        included.entrySet().removeIf(entry -> !includes(entry.getKey(), entry.getValue()));
        List<String> sorted = new ArrayList<>(included.keySet());
        sorted.sort(Comparator.comparing((String name) -> sortKey(included.get(name)), BY_ELEMENTS)
                .thenComparing(Comparator.naturalOrder()));
        List<List<String>> split = new ArrayList<>();
        List<String> step = new ArrayList<>();
        List<String> stepKey = List.of();
        for (String name : sorted) {
            List<String> sortKey = sortKey(included.get(name));
            List<String> memberKey = sortKey.subList(0, Math.min(2, sortKey.size()));
            int size = steps.get(Math.min(split.size(), steps.size() - 1));
            if (!step.isEmpty() && (step.size() >= size || !memberKey.equals(stepKey))) {
                split.add(List.copyOf(step));
                step.clear();
            }
            stepKey = memberKey;
            step.add(name);
        }
        if (!step.isEmpty()) {
            split.add(List.copyOf(step));
        }
        return split;
    }

    /** The sort key of a member: the rank of its role, then the values that {@link #order} names. */
    private List<String> sortKey(KnownMember member) {
        Role firstRole = first.equals(WORKERS) ? Role.WORKER : Role.DISPATCHER;
        List<String> sortKey = new ArrayList<>();
        sortKey.add(member.role() == firstRole ? "0" : "1");
        for (String attribute : order) {
            sortKey.add(
                    switch (attribute) {
                        case ZONE -> member.zone();
                        case KIND -> member.kind();
                        default -> member.cell();
                    });
        }
        return sortKey;
    }

    private static int compareElements(List<String> left, List<String> right) {
        for (int i = 0; i < Math.min(left.size(), right.size()); i++) {
            int comparison = left.get(i).compareTo(right.get(i));
            if (comparison != 0) {
                return comparison;
            }
        }
        return Integer.compare(left.size(), right.size());
    }
}
