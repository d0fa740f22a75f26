package maplespread.release;

import java.util.List;

/**
 * What a release is to change. Empty lists of zones, kinds, cells and names: all. {@code from}, {@code to}:
 * versions; both empty or the same: a restart, told by runs alone. {@code first}: "workers" or "dispatchers";
 * {@code order}: of "zone", "kind", "cell", by which members stand, then by name; {@code steps}: sizes of the
 * steps, the last one repeats. {@code limits}: tighter than the standing ones, or null.
 */
public record Plan(String id, String from, String to, boolean dispatchers, boolean workers, List<String> zones,
        List<String> kinds, List<String> cells, List<String> names, String first, List<String> order,
        List<Integer> steps, Limits limits) {

    /** Reads the console's JSON; what is not named has its default. */
    public static Plan read(String json) throws ReleaseRefused {
        throw new UnsupportedOperationException();
    }
}
