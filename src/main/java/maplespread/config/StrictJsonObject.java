package maplespread.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * One object of a file that is read key by key: each has its range and its default, and whatever was not
 * asked for is an error at the end. Guards against a key that is mistyped and so passed over in silence.
 */
final class StrictJsonObject {
    private final String path;
    private final JsonObject in;
    private final Set<String> asked = new TreeSet<>();
    private final List<StrictJsonObject> parts = new ArrayList<>();

    private StrictJsonObject(String path, JsonObject in) {
        this.path = path;
        this.in = in;
    }

    /** The object in a file; {@code what} names the file's place in messages. */
    static StrictJsonObject file(String file, String what) throws ConfigException {
        try {
            return text(Files.readString(Path.of(file)), what);
        } catch (IOException | java.nio.file.InvalidPathException e) {
            throw new ConfigException(what, "cannot read " + file + ": " + e.getMessage());
        }
    }

    static StrictJsonObject text(String text, String what) throws ConfigException {
        try {
            return new StrictJsonObject("", JsonParser.parseString(text).getAsJsonObject());
        } catch (JsonParseException | IllegalStateException e) {
            throw new ConfigException(what, "not a JSON object");
        }
    }

    boolean has(String key) {
        asked.add(key);
        return in.has(key) && !in.get(key).isJsonNull();
    }

    /** The object under a key; an empty one where the key is absent. */
    StrictJsonObject part(String key) throws ConfigException {
        JsonElement e = has(key) ? in.get(key) : new JsonObject();
        if (!e.isJsonObject()) {
            throw error(key, "must be an object");
        }
        StrictJsonObject part = new StrictJsonObject(path + key + ".", e.getAsJsonObject());
        parts.add(part);
        return part;
    }

    /** The text of an object that another reader checks. */
    String object(String key) throws ConfigException {
        if (!has(key) || !in.get(key).isJsonObject()) {
            throw error(key, has(key) ? "must be an object" : "is missing");
        }
        return in.get(key).toString();
    }

    String string(String key, String otherwise) throws ConfigException {
        if (!has(key)) {
            if (otherwise == null) {
                throw error(key, "is missing");
            }
            return otherwise;
        }
        JsonElement e = in.get(key);
        if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isString()) {
            throw error(key, "must be a string");
        }
        return e.getAsString();
    }

    String oneOf(String key, String otherwise, List<String> words) throws ConfigException {
        String word = string(key, otherwise);
        if (!words.contains(word)) {
            throw error(key, "must be one of " + words + ", not " + word);
        }
        return word;
    }

    long whole(String key, long otherwise, long least, long most) throws ConfigException {
        if (!has(key)) {
            return otherwise;
        }
        double v = number(key);
        if (!(v >= least && v <= most && v == Math.rint(v))) {
            throw error(key, "must be a whole number from " + least + " to " + most);
        }
        return (long) v;
    }

    double number(String key, double otherwise, double least, double most) throws ConfigException {
        if (!has(key)) {
            return otherwise;
        }
        double v = number(key);
        if (!(v >= least && v <= most)) {
            throw error(key, "must be a number from " + least + " to " + most);
        }
        return v;
    }

    private double number(String key) throws ConfigException {
        try {
            return in.getAsJsonPrimitive(key).getAsDouble();
        } catch (RuntimeException e) {
            throw error(key, "not a number");
        }
    }

    /** A list of strings that are not empty, in which none stands twice. */
    List<String> strings(String key) throws ConfigException {
        if (!has(key) || !in.get(key).isJsonArray() || in.getAsJsonArray(key).isEmpty()) {
            throw error(key, "must be a list with at least one entry");
        }
        List<String> all = new ArrayList<>();
        for (JsonElement e : in.getAsJsonArray(key)) {
            if (!e.isJsonPrimitive() || e.getAsString().isBlank()) {
                throw error(key, "each entry must be a string that is not empty");
            }
            if (all.contains(e.getAsString())) {
                throw error(key, e.getAsString() + " stands twice");
            }
            all.add(e.getAsString());
        }
        return List.copyOf(all);
    }

    ConfigException error(String key, String why) {
        return new ConfigException(path + key, why);
    }

    /** To be called when all has been read: a key that nobody asked for is an error. */
    void end() throws ConfigException {
        for (String key : in.keySet()) {
            if (!asked.contains(key)) {
                throw error(key, "is not known; " + nearest(key));
            }
        }
        for (StrictJsonObject part : parts) {
            part.end();
        }
    }

    private String nearest(String key) {
        String best = null;
        int least = Math.max(2, key.length() / 3) + 1;
        for (String known : asked) {
            int far = distance(key, known);
            if (far < least) {
                least = far;
                best = known;
            }
        }
        return best == null ? "known here: " + asked : "did you mean " + best + "?";
    }

    /** Levenshtein's: how many letters must be put in, taken out or changed. */
    static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int change = diagonal + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(change, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[b.length()];
    }
}
