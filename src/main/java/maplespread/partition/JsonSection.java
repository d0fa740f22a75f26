package maplespread.partition;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import maplespread.partition.RoutingTableException.Kind;

/**
 * One object in the JSON of a routing table. Each value is read by its key and checked; {@link #rejectUnknownKeys}
 * throws for a key that was never read.
 */
final class JsonSection {
    private static final double MS_PER_S = 1000;

    /** Two numbers that bound an interval, {@code from} inclusive and {@code below} exclusive. */
    record Interval(double from, double below) {}

    /** The location for errors, as {@code rule NAME}; empty: the table as a whole. */
    final String where;

    private final JsonObject object;
    private final Set<String> readKeys = new TreeSet<>();

    JsonSection(String where, JsonElement element) throws RoutingTableException {
        this.where = where;
        if (element == null || !element.isJsonObject()) {
            throw new RoutingTableException(Kind.MALFORMED, where, "must be an object", "write it as {...}");
        }
        object = element.getAsJsonObject();
    }

    /** A nested object; an empty one if the key is missing. */
    JsonSection section(String key, String sectionWhere) throws RoutingTableException {
        JsonElement element = get(key);
        return new JsonSection(sectionWhere, element == null ? new JsonObject() : element);
    }

    /** Reads a value; null: the key is missing or its value is null. */
    JsonElement get(String key) {
        readKeys.add(key);
        JsonElement element = object.get(key);
        return element == null || element.isJsonNull() ? null : element;
    }

    /** Whether the key is present, also with the value null. Does not count as reading the key. */
    boolean has(String key) {
        return object.has(key);
    }

    Set<String> keys() {
        return object.keySet();
    }

    RoutingTableException malformed(String key, String problem) {
        return new RoutingTableException(Kind.MALFORMED, where, key + " " + problem, "correct " + key);
    }

    /**
     * Reads a string that is not blank.
     *
     * @param defaultString used if the key is missing; null: the key is required
     */
    String string(String key, String defaultString) throws RoutingTableException {
        JsonElement element = get(key);
        if (element == null && defaultString != null) {
            return defaultString;
        }
        if (element == null || !isString(element) || element.getAsString().isBlank()) {
            throw malformed(key, element == null ? "is missing" : "must be a string that is not empty");
        }
        return element.getAsString();
    }

    /** Reads one of an enum's constants, which is in lower case. */
    <E extends Enum<E>> E enumValue(String key, E defaultValue, Class<E> type) throws RoutingTableException {
        String name = string(key, defaultValue.name().toLowerCase(Locale.ROOT));
        for (E candidate : type.getEnumConstants()) {
            if (candidate.name().toLowerCase(Locale.ROOT).equals(name)) {
                return candidate;
            }
        }
        throw new RoutingTableException(
                Kind.UNKNOWN_NAME,
                where,
                key + " " + name + " is not known",
                "use one of " + List.of(type.getEnumConstants()).toString().toLowerCase(Locale.ROOT));
    }

    double number(String key, double defaultNumber, double min, double max) throws RoutingTableException {
        JsonElement element = get(key);
        double number = element == null ? defaultNumber : numberOf(element);
        if (!(number >= min && number <= max)) { // NaN fails too
            throw malformed(key, "must be a number from " + min + " to " + max);
        }
        return number;
    }

    /** Reads a list of distinct strings; empty if the key is missing. */
    Set<String> strings(String key) throws RoutingTableException {
        Set<String> all = new LinkedHashSet<>();
        JsonElement element = get(key);
        if (element != null && !isFilledArray(element)) {
            throw malformed(key, "must be a list with at least one entry");
        }
        for (JsonElement entry : element == null ? new JsonArray() : element.getAsJsonArray()) {
            if (!isString(entry) || !all.add(entry.getAsString())) {
                throw malformed(key, "must be a list of strings, each once");
            }
        }
        return all;
    }

    /** Reads an interval within these bounds; the whole of it if the key is missing. */
    Interval interval(String key, double min, double max) throws RoutingTableException {
        JsonElement element = get(key);
        if (element == null) {
            return new Interval(min, max);
        }
        if (element.isJsonArray() && element.getAsJsonArray().size() == 2) {
            double from = numberOf(element.getAsJsonArray().get(0));
            double below = numberOf(element.getAsJsonArray().get(1));
            if (min <= from && from < below && below <= max) {
                return new Interval(from, below);
            }
        }
        throw malformed(key, "must be [from, below] within " + min + " to " + max);
    }

    /**
     * Reads the limits of a queue. Missing values come from the defaults.
     *
     * @param defaultWorkS the default for the estimated work, in seconds
     */
    QueueLimits limits(String key, double defaultRequests, double defaultWorkS, double defaultAgeMs)
            throws RoutingTableException {
        JsonSection section = section(key, where);
        QueueLimits limits = new QueueLimits(
                (int) section.number("jobs", defaultRequests, 1, 1e6),
                section.number("work_s", defaultWorkS, 0.001, 1e6) * MS_PER_S,
                (long) section.number("age_ms", defaultAgeMs, 1, 3.6e6));
        section.rejectUnknownKeys();
        return limits;
    }

    /** Throws for a key that was never read. To be called once every valid key has been read. */
    void rejectUnknownKeys() throws RoutingTableException {
        for (String key : object.keySet()) {
            if (!readKeys.contains(key)) {
                throw new RoutingTableException(
                        Kind.UNKNOWN_NAME, where, "key " + key + " is not known", "use one of " + readKeys);
            }
        }
    }

    static boolean isString(JsonElement element) {
        return element.isJsonPrimitive() && element.getAsJsonPrimitive().isString();
    }

    static boolean isFilledArray(JsonElement element) {
        return element.isJsonArray() && !element.getAsJsonArray().isEmpty();
    }

    /** The element's number, or NaN if it is not a number. Negative zero becomes zero. */
    static double numberOf(JsonElement element) {
        boolean isNumber =
                element.isJsonPrimitive() && element.getAsJsonPrimitive().isNumber();
        return isNumber ? element.getAsDouble() + 0.0 : Double.NaN;
    }
}
