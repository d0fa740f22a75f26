package maplespread.partition;

import java.util.Map;

/**
 * What rules may ask of a job. {@code tenant} and {@code entity} may be null; labels are numbers, as the
 * platform has them. Attributes go by the names {@code class}, {@code tenant}, {@code entity}, {@code path}
 * and {@code label.NAME}.
 */
public record RequestAttributes(
        String requestClass, String tenant, String entity, String path, Map<String, Double> labels) {
    static final String LABEL_PREFIX = "label.";

    /** A string, a Double for a label, or null where the job has no such attribute. */
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
