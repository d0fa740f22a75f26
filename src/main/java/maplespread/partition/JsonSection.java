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
 * One object of a routing table's text. Each value is asked for by its key and checked; a key that nobody has asked
 * for is an error at the {@link #end}.
 */
final class JsonSection {
    private static final double MS_PER_S = 1000;

    /** Two numbers, {@code from} included, {@code below} not. */
    record Interval(double from, double below) {}

    /** Where errors are, as {@code rule NAME}; empty: the table as a whole. */
    final String where;

    private final JsonObject object;
    private final Set<String> askedKeys = new TreeSet<>();

    JsonSection(String where, JsonElement element) throws RoutingTableException {
        this.where = where;
        if (element == null || !element.isJsonObject()) {
            throw new RoutingTableException(Kind.MALFORMED, where, "must be an object", "write it as {...}");
        }
        object = element.getAsJsonObject();
    }

    /** An object within the table; where the key is missing, an empty one. */
    JsonSection section(String key, String sectionWhere) throws RoutingTableException {
        JsonElement element = get(key);
        return new JsonSection(sectionWhere, element == null ? new JsonObject() : element);
    }

    /** Null where the key is missing or null. */
    JsonElement get(String key) {
        askedKeys.add(key);
        JsonElement element = object.get(key);
        return element == null || element.isJsonNull() ? null : element;
    }

    /** Whether the key is written, null or not; this does not count as asking for it. */
    boolean has(String key) {
        return object.has(key);
    }

    Set<String> keys() {
        return object.keySet();
    }

    RoutingTableException malformed(String key, String problem) {
        return new RoutingTableException(Kind.MALFORMED, where, key + " " + problem, "correct " + key);
    }

    /** {@code defaultText}: where the key is missing; null: it must be there. */
    String text(String key, String defaultText) throws RoutingTableException {
        JsonElement element = get(key);
        if (element == null && defaultText != null) {
            return defaultText;
        }
        if (element == null || !isString(element) || element.getAsString().isBlank()) {
            throw malformed(key, element == null ? "is missing" : "must be a string that is not empty");
        }
        return element.getAsString();
    }

    /** One of an enum's constants, in lower case. */
    <E extends Enum<E>> E word(String key, E defaultWord, Class<E> words) throws RoutingTableException {
        String word = text(key, defaultWord.name().toLowerCase(Locale.ROOT));
        for (E candidate : words.getEnumConstants()) {
            if (candidate.name().toLowerCase(Locale.ROOT).equals(word)) {
                return candidate;
            }
        }
        throw new RoutingTableException(
                Kind.UNKNOWN_NAME,
                where,
                key + " " + word + " is not known",
                "use one of " + List.of(words.getEnumConstants()).toString().toLowerCase(Locale.ROOT));
    }

    double number(String key, double defaultNumber, double min, double max) throws RoutingTableException {
        JsonElement element = get(key);
        double number = element == null ? defaultNumber : numberOf(element);
        if (!(number >= min && number <= max)) { // not a number fails too
            throw malformed(key, "must be a number from " + min + " to " + max);
        }
        return number;
    }

    /** Strings, each once; empty where the key is missing. */
    Set<String> texts(String key) throws RoutingTableException {
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

    /** An interval within these limits; where the key is missing, all of it. */
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

    /** The limits of a queue; what is not written comes from the defaults, {@code workS} in seconds. */
    QueueLimits limits(String key, double defaultRequests, double defaultWorkS, double defaultAgeMs)
            throws RoutingTableException {
        JsonSection section = section(key, where);
        QueueLimits limits = new QueueLimits(
                (int) section.number("jobs", defaultRequests, 1, 1e6),
                section.number("work_s", defaultWorkS, 0.001, 1e6) * MS_PER_S,
                (long) section.number("age_ms", defaultAgeMs, 1, 3.6e6));
        section.end();
        return limits;
    }

    /** All keys that mean something have been asked for: any other one is an error. */
    void end() throws RoutingTableException {
        for (String key : object.keySet()) {
            if (!askedKeys.contains(key)) {
                throw new RoutingTableException(
                        Kind.UNKNOWN_NAME, where, "key " + key + " is not known", "use one of " + askedKeys);
            }
        }
    }

    static boolean isString(JsonElement element) {
        return element.isJsonPrimitive() && element.getAsJsonPrimitive().isString();
    }

    static boolean isFilledArray(JsonElement element) {
        return element.isJsonArray() && !element.getAsJsonArray().isEmpty();
    }

    /** Not a number where the element is none; zero is never negative. */
    static double numberOf(JsonElement element) {
        boolean isNumber =
                element.isJsonPrimitive() && element.getAsJsonPrimitive().isNumber();
        return isNumber ? element.getAsDouble() + 0.0 : Double.NaN;
    }
}
