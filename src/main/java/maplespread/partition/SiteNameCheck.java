package maplespread.partition;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import maplespread.partition.RoutingTableException.Kind;

/** Checks names in a routing table against the names that it may use. */
final class SiteNameCheck {
    /** Maximum number of known names that an error lists. */
    private static final int MAX_LISTED_NAMES = 20;

    private static final List<String> ATTRIBUTES = List.of("class", "tenant", "entity", "path");

    private SiteNameCheck() {}

    /** Returns the names unchanged, or throws at the first one that is not among the known names. */
    static Set<String> requireKnown(JsonSection section, String key, Set<String> names, Collection<String> knownNames)
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

    /** Returns the name of a request attribute unchanged, or throws if no attribute has that name. */
    static String requireAttribute(JsonSection section, String name) throws RoutingTableException {
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
