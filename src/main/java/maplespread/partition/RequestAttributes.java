package maplespread.partition;

import java.util.Map;

/**
 * What rules may ask of a request. Attributes go by the names {@code class}, {@code tenant}, {@code entity}, {@code
 * path} and {@code label.NAME}.
 *
 * @param tenant null where it has none
 * @param entity null where it has none
 * @param path without the query
 * @param labels numbers, by name
 */
public record RequestAttributes(
        String requestClass, String tenant, String entity, String path, Map<String, Double> labels) {
    static final String LABEL_PREFIX = "label.";

    /** A string, a Double for a label, or null where the request has no such attribute. */
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
