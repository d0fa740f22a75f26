package maplespread.starvation.client;

import java.util.List;
import maplespread.config.Config;
import maplespread.starvation.FleetLayout;
import maplespread.starvation.Verdict;

/** The settings' names of tenants, classes and places, by the numbers that verdicts carry. */
record SiteNames(List<String> tenants, List<String> classes, List<String> zones, List<String> kinds) {
    static SiteNames of(Config.Names names) {
        return new SiteNames(names.tenants(), names.classes(), names.zones(), names.kinds());
    }

    String tenant(int number) {
        return name(tenants, number);
    }

    String requestClass(int number) {
        return name(classes, number);
    }

    String place(FleetLayout layout, int place) {
        return layout.describe(place, zone -> name(zones, zone), kind -> name(kinds, kind));
    }

    private static String name(List<String> names, int number) {
        if (number == Verdict.ALL) {
            return "all";
        }
        return number < names.size() ? names.get(number) : Integer.toString(number);
    }
}
