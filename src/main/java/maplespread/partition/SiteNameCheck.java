package maplespread.partition;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import maplespread.partition.RoutingTableException.Kind;

/** Checks names in a routing table against those that it may use. */
final class SiteNameCheck {
    /** So many of the known names are listed in an error. */
    private static final int MAX_LISTED_NAMES = 20;

    private static final List<String> ATTRIBUTES = List.of("class", "tenant", "entity", "path");

    private SiteNameCheck() {}

    /** The names as they are, or an error at the first that is not among the known ones. */
    static Set<String> known(JsonSection section, String key, Set<String> names, Collection<String> knownNames)
            throws RoutingTableException {
        for (String name : names) {
            if (!knownNames.contains(name)) {
                throw new RoutingTableException(
                        Kind.UNKNOWN_NAME,
                        section.where,
                        key + ": " + name + " is not known",
                        "use one of "
                                + knownNames.stream().limit(MAX_LISTED_NAMES).toList()
                                + ", or list it in the site first");
            }
        }
        return names;
    }

    /** The name of a request's attribute as it is, or an error where there is none of that name. */
    static String attribute(JsonSection section, String name) throws RoutingTableException {
        boolean label = name.startsWith(RequestAttributes.LABEL_PREFIX)
                && name.length() > RequestAttributes.LABEL_PREFIX.length();
        if (!label && !ATTRIBUTES.contains(name)) {
            throw new RoutingTableException(
                    Kind.UNKNOWN_NAME,
                    section.where,
                    "attribute " + name + " is not known",
                    "use class, tenant, entity, path or label.NAME");
        }
        return name;
    }
}
