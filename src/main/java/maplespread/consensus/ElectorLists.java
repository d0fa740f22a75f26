package maplespread.consensus;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Quorums over one list of electors, or over two lists during a change of electors, each of which then needs a
 * majority.
 */
final class ElectorLists {
    private ElectorLists() {}

    /** All names in these lists, in alphabetical order, as a new modifiable set. */
    static Set<String> names(List<List<String>> lists) {
        Set<String> names = new TreeSet<>();
        lists.forEach(names::addAll);
        return names;
    }

    /** Whether the voters include a majority of each of the lists. */
    static boolean haveMajorities(List<List<String>> lists, Set<String> voters) {
        return lists.stream().allMatch(list -> isMajority(list, voters));
    }

    private static boolean isMajority(List<String> list, Set<String> voters) {
        return 2 * list.stream().filter(voters::contains).count() > list.size();
    }

    /** Whether both lists name the same electors, in any order. */
    static boolean sameElectors(List<String> first, List<String> second) {
        return Set.copyOf(first).equals(Set.copyOf(second));
    }
}
