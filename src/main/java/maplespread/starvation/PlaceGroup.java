package maplespread.starvation;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** The requests of one class in one place, by band of work: of all together and of each tenant. */
final class PlaceGroup {
    /** Bands of a request's own work, see {@link CellCode#bandFor}. */
    static final int BANDS = 16;

    final int requestClass;
    final int place;
    /** By band; null where there are no requests of it. */
    final LogRankComparison.Stratum[] strata = new LogRankComparison.Stratum[BANDS];
    /** By band; null where there are no requests of it. */
    final WaitHistogram[] totals = new WaitHistogram[BANDS];
    /** By tenant, then by band; null where there are no requests of it. */
    final Map<Integer, WaitHistogram[]> tenants = new HashMap<>();

    private PlaceGroup(int requestClass, int place) {
        this.requestClass = requestClass;
        this.place = place;
    }

    Subject subject(int tenant) {
        return new Subject(tenant, requestClass, place);
    }

    /** All groups of a window, in the order of classes and places. */
    static Map<Long, PlaceGroup> of(FleetWindow window, FleetLayout layout) {
        Map<Long, PlaceGroup> groups = new TreeMap<>();
        window.strata().forEach((stratum, histogram) -> {
            int requestClass = CellCode.requestClass(stratum);
            if (requestClass >= layout.deadlinesMs().length) {
                return; // of a dispatcher with other settings
            }
            PlaceGroup group =
                    groups.computeIfAbsent(key(stratum), k -> new PlaceGroup(requestClass, CellCode.place(stratum)));
            int band = CellCode.band(stratum);
            group.totals[band] = histogram;
            group.strata[band] = new LogRankComparison.Stratum(histogram, layout.deadlineMs(requestClass));
        });
        window.cells().forEach((cell, histogram) -> {
            PlaceGroup group = groups.get(key(cell));
            if (group != null) {
                group.tenants
                        .computeIfAbsent(CellCode.tenant(cell), t -> new WaitHistogram[BANDS])[CellCode.band(cell)] = histogram;
            }
        });
        return groups;
    }

    private static long key(long cell) {
        return (long) CellCode.requestClass(cell) << Integer.SIZE | CellCode.place(cell);
    }
}
