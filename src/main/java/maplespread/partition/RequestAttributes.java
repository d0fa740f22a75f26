package maplespread.partition;

import java.util.Map;

/**
 * The attributes of a request that rules may have conditions on. Rules call them {@code class}, {@code tenant},
 * {@code entity}, {@code path} and {@code label.NAME}.
 *
 * @param tenant null: the request has none
 * @param entity null: the request has none
 * @param path the path without the query
 * @param labels numbers by the label's name
 */
public record RequestAttributes(
        String requestClass, String tenant, String entity, String path, Map<String, Double> labels) {
    static final String LABEL_PREFIX = "label.";

    /** The attribute's value: a string, a Double for a label, or null if the request has no such attribute. */
    Object get(String attribute) {
        return switch (attribute) {
            case "class" -> requestClass;
            case "tenant" -> tenant;
            case "entity" -> entity;
            case "path" -> path;
            default -> labels.get(attribute.substring(LABEL_PREFIX.length()));
        };
    }
}
